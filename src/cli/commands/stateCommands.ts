import { err, ok, safeTry, type Result } from "neverthrow";
import type { EnvironmentDocument } from "../../document/schema.js";
import { reportChange } from "../changeReport.js";
import { CommandFailedError, type CliError } from "../cliErrors.js";
import type { Command, Report } from "../command.js";
import { applyEdit, type DocumentEdit } from "../documentEdit.js";
import { buildEnvironmentOption, getArgument, getEnvironmentName, waitOption } from "../options.js";
import type { EnvironmentName } from "../settings.js";

/** What a command that edits one part of the document needs. */
export interface EditCommandOptions {
    readonly usage: string;
    readonly description: string;
    readonly environment: EnvironmentName;
    /** The edit for the name on the command line. */
    buildEdit(name: string): DocumentEdit;
}

/** A command that edits one named part of the document. */
export function buildEditCommand(options: EditCommandOptions): Command {
    return {
        usage: options.usage,
        description: options.description,
        options: [buildEnvironmentOption(options.environment), waitOption],
        run: (invocation, context) =>
            safeTry<Report, CliError>(async function* () {
                const environment = yield* getEnvironmentName(invocation);
                const client = yield* context.openDocument(environment);
                const applied = yield* await applyEdit(client, options.buildEdit(getArgument(invocation, 0)));
                return ok(await reportChange(environment, applied, invocation, context));
            }),
    };
}

/** The member of a record by its own name. Errors: there is none. */
export function findNamed<T>(
    record: Readonly<Record<string, T>>,
    name: string,
    kind: string,
): Result<T, CommandFailedError> {
    const found = Object.hasOwn(record, name) ? record[name] : undefined;
    return found === undefined ? err(new CommandFailedError(`no ${kind} is named "${name}"`)) : ok(found);
}

/** Sets one state in the document. */
export function buildStateEdit(
    kind: "data centre" | "target",
    name: string,
    getRecord: (document: EnvironmentDocument) => Readonly<Record<string, { readonly state: string }>>,
    setState: (document: EnvironmentDocument) => EnvironmentDocument,
): DocumentEdit {
    return {
        pick: document => (Object.hasOwn(getRecord(document), name) ? getRecord(document)[name].state : undefined),
        apply: (document): Result<EnvironmentDocument, CliError> =>
            findNamed(getRecord(document), name, kind).map(() => setState(document)),
    };
}
