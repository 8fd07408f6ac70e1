import { writeFileSync } from "node:fs";
import { err, fromThrowable, ok, safeTry, type Result } from "neverthrow";
import { defaultHistoryBounds } from "../../events/historyChecker.js";
import { renderHtml } from "../../events/renderHtml.js";
import { formatGap, renderText } from "../../events/renderText.js";
import { CommandFailedError, type CliError } from "../cliErrors.js";
import type { Command, Report } from "../command.js";
import { buildEnvironmentOption, getEnvironmentName, getText } from "../options.js";
import { loadShares, loadTimeline } from "./fleetEvents.js";

/** Shows the events of all daemons in one causal order. */
export const timeline: Command = {
    usage: "timeline",
    description:
        "Show what all daemons recorded, in one causal order: text, JSON lines (--json), or a page (--html FILE)",
    options: [
        buildEnvironmentOption("production"),
        { name: "html", kind: "text", description: "Write one self-contained page to this file" },
    ],
    run: (invocation, context) =>
        safeTry<Report, CliError>(async function* () {
            const environment = yield* getEnvironmentName(invocation);
            const directory = yield* context.openDaemons(environment);
            const loaded = yield* await loadTimeline(directory, context.token);
            const notes = loaded.unreachable.map(name => `${name} does not answer; its events are missing`);
            const { events, gaps } = loaded.timeline;
            const file = getText(invocation, "html");
            if (file === undefined) {
                const jsonLines = [
                    ...loaded.unreachable.map(daemon => ({ unreachable: daemon })),
                    ...gaps.map(gap => ({ gap })),
                    ...events,
                ];
                const lines = renderText({ events, gaps: [] });
                return ok({ json: undefined, jsonLines, lines, notes: [...notes, ...gaps.map(formatGap)] });
            }
            const shares = (await loadShares(directory, context.token)).unwrapOr({ daemons: [], unreachable: [] });
            const weights = Object.fromEntries(
                shares.daemons.flatMap(daemon =>
                    daemon.shares.map(share => [share.clientAccount, share.weight] as const),
                ),
            );
            yield* writePage(file, renderHtml(loaded.timeline, { ...defaultHistoryBounds, weights }));
            return ok({
                json: { file, events: events.length },
                lines: [`${events.length} events written to ${file}`],
                notes,
            });
        }),
};

function writePage(file: string, text: string): Result<void, CliError> {
    const write = fromThrowable(
        () => writeFileSync(file, text),
        error => (error as NodeJS.ErrnoException).code ?? "unwritable",
    );
    const written = write();
    return written.isErr() ? err(new CommandFailedError(`cannot write ${file}: ${written.error}`)) : ok(undefined);
}
