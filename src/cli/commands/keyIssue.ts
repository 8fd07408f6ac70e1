import { ok, safeTry, type Result } from "neverthrow";
import { issueApiKey } from "../../document/apiKey.js";
import type { EnvironmentDocument } from "../../document/schema.js";
import { reportChange } from "../changeReport.js";
import type { CliError } from "../cliErrors.js";
import type { Command, Report } from "../command.js";
import { applyEdit, type DocumentEdit } from "../documentEdit.js";
import { buildEnvironmentOption, getArgument, getEnvironmentName, waitOption } from "../options.js";
import { addKey } from "./accountCreate.js";
import { findNamed } from "./stateCommands.js";

/** Issues a further API key for a client account. */
export const keyIssue: Command = {
    usage: "key issue <account>",
    description: "Issue a further API key for a client account and print it; it is shown only once",
    options: [buildEnvironmentOption("trial"), waitOption],
    run: (invocation, context) =>
        safeTry<Report, CliError>(async function* () {
            const environment = yield* getEnvironmentName(invocation);
            const client = yield* context.openDocument(environment);
            const account = getArgument(invocation, 0);
            const issued = issueApiKey();
            const applied = yield* await applyEdit(client, buildIssueEdit(account, issued.hash));
            const report = await reportChange(environment, applied, invocation, context);
            return ok(addKey(report, account, issued));
        }),
};

function buildIssueEdit(name: string, hash: string): DocumentEdit {
    return {
        pick: document => (Object.hasOwn(document.clientAccounts, name) ? document.clientAccounts[name] : undefined),
        apply: (document): Result<EnvironmentDocument, CliError> =>
            findNamed(document.clientAccounts, name, "client account").map(account => ({
                ...document,
                clientAccounts: {
                    ...document.clientAccounts,
                    [name]: { ...account, apiKeyHashes: [...account.apiKeyHashes, hash] },
                },
            })),
    };
}
