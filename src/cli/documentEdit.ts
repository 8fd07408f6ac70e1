import { isDeepStrictEqual } from "node:util";
import { err, ok, type Result } from "neverthrow";
import type { EnvironmentDocument } from "../document/schema.js";
import { ConflictError, type CliError } from "./cliErrors.js";
import type { AppliedChange, DocumentClient } from "./documentClient.js";

/** A small change that means the same on any document in which its own part is as the operator saw it. */
export interface DocumentEdit {
    /** The part of the document that the edit reads and writes. */
    pick(document: EnvironmentDocument): unknown;
    /** Errors: the edit does not fit the document. */
    apply(document: EnvironmentDocument): Result<EnvironmentDocument, CliError>;
}

const maxAttempts = 5;

/**
 * Applies an edit; undefined when the document says so already. Loses to another change only if that one touched the
 * same part: thousands of changes a day would otherwise make an operator who takes a data centre out in an emergency
 * try again and again. Errors: as for an append.
 */
export async function applyEdit(
    client: DocumentClient,
    edit: DocumentEdit,
): Promise<Result<AppliedChange | undefined, CliError>> {
    const first = await client.readAccepted();
    if (first.isErr()) {
        return err(first.error);
    }
    const seen = edit.pick(first.value.document);
    let lost: CliError = new ConflictError("too many other changes came first; nothing was changed");
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
        const current = client.accepted?.document ?? first.value.document;
        if (!isDeepStrictEqual(edit.pick(current), seen)) {
            return err(lost);
        }
        const next = edit.apply(current);
        if (next.isErr()) {
            return err(next.error);
        }
        if (isDeepStrictEqual(next.value, current)) {
            return ok(undefined);
        }
        const applied = await client.append(next.value);
        if (applied.isOk() || !(applied.error instanceof ConflictError)) {
            return applied;
        }
        lost = applied.error;
    }
    return err(lost);
}
