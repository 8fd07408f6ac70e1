import { err, ok, safeTry, type Result, type ResultAsync } from "neverthrow";
import { comparePatch } from "../../document/patch.js";
import { describePatch, formatDifference } from "../../document/diff.js";
import type { EnvironmentDocument } from "../../document/schema.js";
import { CommandFailedError, type CliError } from "../cliErrors.js";
import type { CliContext, Command, Report } from "../command.js";
import { buildEnvironmentOption, getEnvironmentName, readDocumentFile } from "../options.js";

/** Shows what `apply` or `promote` would change. */
export const documentDiff: Command = {
    usage: "document diff [file]",
    description: "Show what applying the file would change; without a file, what promote would change in production",
    options: [buildEnvironmentOption("trial")],
    run: (invocation, context) => {
        const file = invocation.args[0];
        if (file === undefined) {
            return comparePromotion(context);
        }
        return safeTry<Report, CliError>(async function* () {
            const client = yield* context.openDocument(yield* getEnvironmentName(invocation));
            const next = yield* readDocumentFile(file, context);
            yield* await client.readKnown();
            return reportDifference(client.accepted?.document, next);
        });
    },
};

function comparePromotion(context: CliContext): ResultAsync<Report, CliError> {
    return safeTry<Report, CliError>(async function* () {
        const trial = yield* context.openDocument("trial");
        const production = yield* context.openDocument("production");
        const promoted = yield* await trial.readAccepted();
        yield* await production.readKnown();
        return reportDifference(production.accepted?.document, promoted.document);
    });
}

function reportDifference(
    from: EnvironmentDocument | undefined,
    to: EnvironmentDocument,
): Result<Report, CommandFailedError> {
    const patch = comparePatch(from, to);
    if (patch.isErr()) {
        return err(new CommandFailedError(patch.error.message));
    }
    const differences = describePatch(from, patch.value);
    const lines = differences.length === 0 ? ["no difference"] : differences.map(formatDifference);
    return ok({ json: { differences }, lines });
}
