import { err, ok, safeTry } from "neverthrow";
import {
    fetchHeldParts,
    fetchHeldRequests,
    releaseHeldPart,
    releaseHeldRequest,
} from "../../gateway/quarantine/heldRequestsApi.js";
import { CommandFailedError, UnavailableError, UsageError, type CliError } from "../cliErrors.js";
import type { Command, Report } from "../command.js";
import { getArgument } from "../options.js";
import { getRouterAddress, routerOption } from "../routerOption.js";
import { formatTable } from "../table.js";

const msPerSecond = 1_000;
const digestPattern = /^[0-9a-f]{32}$/;

/** Lists the requests and prompt parts that a router holds because targets crashed under them. */
export const heldList: Command = {
    usage: "held list",
    description: "List requests and prompt parts that routers hold because targets crashed under them",
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
            const parts = yield* await fetchHeldParts(address).mapErr(error => new UnavailableError(error.message));
            const partRows = parts.map(entry => [
                entry.service,
                entry.parts.join(" "),
                String(Math.round(entry.leftMs / msPerSecond)),
            ]);
            return ok({
                json: { held, parts },
                lines: [
                    ...formatTable([["DIGEST", "TARGETS", "SECONDS LEFT"], ...rows]),
                    ...formatTable([["SERVICE", "PROMPT PARTS", "SECONDS LEFT"], ...partRows]),
                ],
            });
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

/** Lets requests with a held prompt part run again at all routers. */
export const heldReleasePart: Command = {
    usage: "held release-part <service> <part>",
    description: "Let requests with a held prompt part run again at all routers",
    options: [routerOption],
    run: invocation =>
        safeTry<Report, CliError>(async function* () {
            const address = yield* getRouterAddress(invocation);
            const service = getArgument(invocation, 0);
            const part = getArgument(invocation, 1);
            const isKnown = yield* await releaseHeldPart(address, service, part).mapErr(
                error => new UnavailableError(error.message),
            );
            return isKnown
                ? ok({ json: { service, part, released: true }, lines: [`requests with ${part} may run again`] })
                : err(new CommandFailedError(`${address} does not hold ${part} of ${service}`));
        }),
};
