import { err, ok, safeTry, type Result } from "neverthrow";
import { fetchHeldRequests, releaseHeldRequest } from "../../gateway/quarantine/heldRequestsApi.js";
import { CommandFailedError, UnavailableError, UsageError, type CliError } from "../cliErrors.js";
import type { Command, CommandOption, Invocation, Report } from "../command.js";
import { getArgument, getText } from "../options.js";
import { formatTable } from "../table.js";

const routerOption: CommandOption = {
    name: "router",
    kind: "text",
    description: "HOST:PORT of a router's control address",
};
const msPerSecond = 1_000;
const addressPattern = /^[^:\s]+:\d{1,5}$/;
const digestPattern = /^[0-9a-f]{32}$/;

/** Lists the requests that a router holds because targets crashed under them. */
export const heldList: Command = {
    usage: "held list",
    description: "List requests that routers hold because targets crashed under them",
    options: [routerOption],
    run: invocation =>
        safeTry<Report, CliError>(async function* () {
            const address = yield* getRouter(invocation);
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
            const address = yield* getRouter(invocation);
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

function getRouter(invocation: Invocation): Result<string, UsageError> {
    const address = getText(invocation, "router");
    return address !== undefined && addressPattern.test(address)
        ? ok(address)
        : err(new UsageError("--router must be HOST:PORT"));
}
