import { err, ok, safeTry } from "neverthrow";
import { fetchHeldRequests, releaseHeldRequest } from "../../gateway/quarantine/heldRequestsApi.js";
import { CommandFailedError, UnavailableError, UsageError, type CliError } from "../cliErrors.js";
import type { Command, Report } from "../command.js";
import { getArgument } from "../options.js";
import { getRouterAddress, routerOption } from "../routerOption.js";
import { formatTable } from "../table.js";

const msPerSecond = 1_000;
const digestPattern = /^[0-9a-f]{32}$/;

/** Lists the requests that a router holds because targets crashed under them. */
export const heldList: Command = {
    usage: "held list",
    description: "List requests that routers hold because targets crashed under them",
    options: [routerOption],
    run: invocation =>
        safeTry<Report, CliError>(async function* () {
            const address = yield* getRouterAddress(invocation);
            const held = yield* await fetchHeldRequests(address).mapErr(error => new UnavailableError(error.message));
            const rows = held.map(({ digest, incarnations, leftMs }) => [
                digest,
                String(incarnations.length),
                String(Math.round(leftMs / msPerSecond)),
            ]);
            return ok({ json: { held }, lines: formatTable([["DIGEST", "TARGETS", "SECONDS LEFT"], ...rows]) });
        }),
};

/** Lets a held request run again at all routers. */
export const heldRelease: Command = {
    usage: "held release <digest>",
    description: "Let a held request run again at all routers",
    options: [routerOption],
    run: invocation =>
        safeTry<Report, CliError>(async function* () {
            const address = yield* getRouterAddress(invocation);
            const digest = getArgument(invocation, 0);
            if (!digestPattern.test(digest)) {
                return err(new UsageError("<digest> must be 32 hexadecimal digits, as in held list"));
            }
            const isKnown = yield* await releaseHeldRequest(address, digest).mapErr(
                error => new UnavailableError(error.message),
            );
            return isKnown
                ? ok({ json: { digest, released: true }, lines: [`${digest} may run again`] })
                : err(new CommandFailedError(`${address} knows nothing of ${digest}`));
        }),
};
