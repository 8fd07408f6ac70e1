import { err, ok, safeTry, type Result } from "neverthrow";
import type { DecidedRecord } from "../../document/documentState.js";
import { CommandFailedError, type CliError } from "../cliErrors.js";
import type { Command, Report } from "../command.js";
import { buildEnvironmentOption, getEnvironmentName, getNumber, getText } from "../options.js";
import type { EnvironmentName } from "../settings.js";

/** Lists the changes that the log still holds and what became of each. */
export const documentHistory: Command = {
    usage: "document history",
    description: "List the changes that the log still holds and what became of each, newest last",
    options: [
        buildEnvironmentOption("production"),
        { name: "limit", kind: "number", description: "Show at most this many", defaultValue: 50 },
        {
            name: "id",
            kind: "text",
            description: "Show only the change with this id; fails if the log does not hold it",
        },
    ],
    run: (invocation, context) =>
        safeTry<Report, CliError>(async function* () {
            const environment = yield* getEnvironmentName(invocation);
            const client = yield* context.openDocument(environment);
            yield* await client.read();
            const limit = getNumber(invocation, "limit") ?? 0;
            return reportHistory(environment, client.history, getText(invocation, "id"), limit);
        }),
};

function reportHistory(
    environment: EnvironmentName,
    history: readonly DecidedRecord[],
    id: string | undefined,
    limit: number,
): Result<Report, CommandFailedError> {
    const changes = history.filter(
        record => record.change !== undefined && (id === undefined || record.change.id === id),
    );
    if (id !== undefined && changes.length === 0) {
        return err(
            new CommandFailedError(`the log of ${environment} holds no change ${id}; it was not accepted so far`),
        );
    }
    const shown = limit > 0 ? changes.slice(-limit) : changes;
    return ok({
        json: { environment, changes: shown.map(describeRecord) },
        lines: shown.map(formatRecord),
    });
}

function describeRecord(record: DecidedRecord): object {
    const { offset, appendedAtMs, verdict, change, detail } = record;
    return { offset, appendedAt: new Date(appendedAtMs).toISOString(), verdict, ...change, detail };
}

function formatRecord(record: DecidedRecord): string {
    const { change } = record;
    const time = new Date(record.appendedAtMs).toISOString();
    const origin =
        change?.type === "restore"
            ? "restore"
            : change?.promotedFrom !== undefined
              ? `promoted from ${change.promotedFrom.environment} ${change.promotedFrom.offset}`
              : `${change?.patch.length ?? 0} operations`;
    return [record.offset, time, record.verdict, change?.author, change?.id, origin].join("  ");
}
