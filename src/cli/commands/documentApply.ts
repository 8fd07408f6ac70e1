import { err, ok, safeTry, type Result } from "neverthrow";
import type { EnvironmentDocument } from "../../document/schema.js";
import { reportChange } from "../changeReport.js";
import { ConflictError, type CliError } from "../cliErrors.js";
import type { Command, Report } from "../command.js";
import type { AppliedChange, DocumentClient, PromotedFrom } from "../documentClient.js";
import {
    buildEnvironmentOption,
    getArgument,
    getEnvironmentName,
    getNumber,
    readDocumentFile,
    waitOption,
} from "../options.js";

/** Puts a document in force. */
export const documentApply: Command = {
    usage: "document apply <file>",
    description: "Put a document in force (- for standard input)",
    options: [
        buildEnvironmentOption("trial"),
        {
            name: "basis",
            kind: "number",
            description: "Apply only if this offset is still the accepted one, so that nobody's change is undone",
        },
        waitOption,
    ],
    run: (invocation, context) =>
        safeTry<Report, CliError>(async function* () {
            const environment = yield* getEnvironmentName(invocation);
            const client = yield* context.openDocument(environment);
            const next = yield* readDocumentFile(getArgument(invocation, 0), context);
            const applied = yield* await applyDocument(client, next, getNumber(invocation, "basis"));
            return ok(await reportChange(environment, applied, invocation, context));
        }),
};

/** Appends what leads from the accepted document to `next`; undefined if nothing does. Errors: as for an append. */
export async function applyDocument(
    client: DocumentClient,
    next: EnvironmentDocument,
    expectedBasis?: number,
    promotedFrom?: PromotedFrom,
): Promise<Result<AppliedChange | undefined, CliError>> {
    const read = await client.readKnown();
    if (read.isErr()) {
        return err(read.error);
    }
    const acceptedOffset = client.accepted?.offset ?? -1;
    if (expectedBasis !== undefined && expectedBasis !== acceptedOffset) {
        return err(
            new ConflictError(`offset ${acceptedOffset} is accepted, not ${expectedBasis}; nothing was changed`),
        );
    }
    return client.isEqual(next) ? ok(undefined) : client.append(next, promotedFrom);
}
