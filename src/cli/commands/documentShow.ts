import { ok, safeTry } from "neverthrow";
import type { CliError } from "../cliErrors.js";
import type { Command, Report } from "../command.js";
import { buildEnvironmentOption, getEnvironmentName } from "../options.js";

/** Prints the accepted document. */
export const documentShow: Command = {
    usage: "document show",
    description: "Print the accepted document; its offset goes to the error stream, or with --json into the output",
    options: [buildEnvironmentOption("production")],
    run: (invocation, context) =>
        safeTry<Report, CliError>(async function* () {
            const environment = yield* getEnvironmentName(invocation);
            const client = yield* context.openDocument(environment);
            const { offset, document } = yield* await client.readAccepted();
            return ok({
                json: { environment, offset, document },
                lines: [JSON.stringify(document, undefined, 2)],
                notes: [`accepted offset: ${offset}`],
            });
        }),
};
