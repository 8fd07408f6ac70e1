import { err, ok, safeTry } from "neverthrow";
import { reportChange } from "../changeReport.js";
import { CommandFailedError, type CliError } from "../cliErrors.js";
import type { Command, Report } from "../command.js";
import { buildEnvironmentOption, getArgument, getEnvironmentName, readDocumentFile, waitOption } from "../options.js";

/** Puts a whole document in force on a log that has lost its history. */
export const documentRestore: Command = {
    usage: "document restore <file>",
    description: "Put a document in force on a log that no longer holds the records that say which one is",
    options: [buildEnvironmentOption("trial"), waitOption],
    run: (invocation, context) =>
        safeTry<Report, CliError>(async function* () {
            const environment = yield* getEnvironmentName(invocation);
            const client = yield* context.openDocument(environment);
            const document = yield* readDocumentFile(getArgument(invocation, 0), context);
            yield* await client.read();
            if (client.isHistoryKnown) {
                return err(new CommandFailedError(`the history of ${environment} is not lost; use document apply`));
            }
            const restored = yield* await client.appendRestore(document);
            return ok(await reportChange(environment, restored, invocation, context));
        }),
};
