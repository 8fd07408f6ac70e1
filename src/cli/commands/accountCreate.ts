import { err, ok, safeTry, type Result } from "neverthrow";
import { issueApiKey, type IssuedApiKey } from "../../document/apiKey.js";
import type { EnvironmentDocument } from "../../document/schema.js";
import { reportChange } from "../changeReport.js";
import { CommandFailedError, type CliError } from "../cliErrors.js";
import type { Command, Report } from "../command.js";
import { applyEdit, type DocumentEdit } from "../documentEdit.js";
import { buildEnvironmentOption, getArgument, getEnvironmentName, getNumber, waitOption } from "../options.js";

/** Creates a client account with its first API key. */
export const accountCreate: Command = {
    usage: "account create <name>",
    description: "Create a client account and print its first API key, which is shown only once",
    options: [
        buildEnvironmentOption("trial"),
        { name: "weight", kind: "number", description: "Share of the capacity relative to others", defaultValue: 1 },
        waitOption,
    ],
    run: (invocation, context) =>
        safeTry<Report, CliError>(async function* () {
            const environment = yield* getEnvironmentName(invocation);
            const client = yield* context.openDocument(environment);
            const name = getArgument(invocation, 0);
            const issued = issueApiKey();
            const edit = buildCreateEdit(name, getNumber(invocation, "weight") ?? 1, issued.hash);
            const applied = yield* await applyEdit(client, edit);
            const report = await reportChange(environment, applied, invocation, context);
            return ok(addKey(report, name, issued));
        }),
};

/** The report with the key, the only time that it is shown. */
export function addKey(report: Report, clientAccount: string, issued: IssuedApiKey): Report {
    return {
        ...report,
        json: { ...(report.json as object), clientAccount, key: issued.key, hash: issued.hash },
        lines: [...report.lines, `key of ${clientAccount} (shown only now): ${issued.key}`],
    };
}

function buildCreateEdit(name: string, weight: number, hash: string): DocumentEdit {
    return {
        pick: document => (Object.hasOwn(document.clientAccounts, name) ? document.clientAccounts[name] : undefined),
        apply: (document): Result<EnvironmentDocument, CliError> => {
            if (Object.hasOwn(document.clientAccounts, name)) {
                return err(new CommandFailedError(`client account "${name}" exists already`));
            }
            const account = { weight, apiKeyHashes: [hash] };
            return ok({ ...document, clientAccounts: { ...document.clientAccounts, [name]: account } });
        },
    };
}
