import { ok, safeTry } from "neverthrow";
import type { CliError } from "../cliErrors.js";
import type { Command, Report } from "../command.js";
import { getArgument, readDocumentFile } from "../options.js";

/** Checks a document's file. */
export const documentCheck: Command = {
    usage: "document check <file>",
    description: "Check a document file (- for standard input); each fault is named with its path",
    options: [],
    run: (invocation, context) =>
        safeTry<Report, CliError>(async function* () {
            const file = getArgument(invocation, 0);
            yield* readDocumentFile(file, context);
            return ok({ json: { valid: true }, lines: [`${file}: valid`] });
        }),
};
