import { err, ok, safeTry } from "neverthrow";
import { explainRequest, renderExplanation } from "../../events/explainRequest.js";
import { CommandFailedError, type CliError } from "../cliErrors.js";
import type { Command, Report } from "../command.js";
import { buildEnvironmentOption, getArgument, getEnvironmentName } from "../options.js";
import { loadTimeline } from "./fleetEvents.js";

/** Tells one request's way through the fleet, and the reason at each step. */
export const explain: Command = {
    usage: "explain <request>",
    description: "Tell one request's way through the fleet and the reason at each step (the id is in x-request-id)",
    options: [buildEnvironmentOption("production")],
    run: (invocation, context) =>
        safeTry<Report, CliError>(async function* () {
            const environment = yield* getEnvironmentName(invocation);
            const directory = yield* context.openDaemons(environment);
            const { timeline, unreachable } = yield* await loadTimeline(directory, context.token);
            const notes = unreachable.map(name => `${name} does not answer; its events are missing`);
            const requestId = getArgument(invocation, 0);
            const explanation = explainRequest(timeline, requestId);
            return explanation === undefined
                ? err(new CommandFailedError(`no daemon has kept an event of ${requestId}`))
                : ok({ json: explanation, lines: renderExplanation(explanation), notes });
        }),
};
