import { err, ok, Result, safeTry } from "neverthrow";
import { explainRequest, renderExplanation } from "../../events/explainRequest.js";
import { explainFromLogs, parseLogLines, renderLogExplanation } from "../../events/explainFromLogs.js";
import { CommandFailedError, type CliError } from "../cliErrors.js";
import type { CliContext, Command, Report } from "../command.js";
import { buildEnvironmentOption, getArgument, getEnvironmentName, getText } from "../options.js";
import { loadTimeline } from "./fleetEvents.js";

/** Tells one request's way through the fleet, and the reason at each step. */
export const explain: Command = {
    usage: "explain <request>",
    description: "Tell one request's way through the fleet and the reason at each step (the id is in x-request-id)",
    options: [
        buildEnvironmentOption("production"),
        {
            name: "logs",
            kind: "text",
            description: "Log files of daemons, separated by commas, instead of live daemons",
        },
    ],
    run: (invocation, context) =>
        safeTry<Report, CliError>(async function* () {
            const files = getText(invocation, "logs");
            if (files !== undefined) {
                return explainByLogs(files.split(","), getArgument(invocation, 0), context);
            }
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

/** The same from log files, of daemons that are gone or can't be reached from here. */
function explainByLogs(files: readonly string[], requestId: string, context: CliContext): Result<Report, CliError> {
    return Result.combine(files.map(file => context.readFile(file))).andThen(texts => {
        const lines = texts.flatMap(parseLogLines).sort((a, b) => a.timeMs - b.timeMs);
        const explanation = explainFromLogs(lines, requestId);
        return explanation === undefined
            ? err(new CommandFailedError(`no line of ${files.join(", ")} names ${requestId}`))
            : ok({ json: explanation, lines: renderLogExplanation(explanation) });
    });
}
