import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { InvalidDocumentError, type DocumentFault } from "./documentErrors.js";
import { documentSchema, type EnvironmentDocument } from "./schema.js";

/** Parses and checks a document's text. Errors: each fault with its path in the document. */
export function parseDocument(text: string): Result<EnvironmentDocument, InvalidDocumentError> {
    let value: unknown;
    try {
        value = JSON.parse(text);
    } catch (error) {
        return err(new InvalidDocumentError([{ path: "", message: `not JSON: ${describeSyntaxError(error)}` }]));
    }
    return checkDocument(value);
}

/** Checks a document that is already JSON. Errors: each fault with its path in the document. */
export function checkDocument(value: unknown): Result<EnvironmentDocument, InvalidDocumentError> {
    const parsed = documentSchema.safeParse(value);
    if (parsed.success) {
        return ok(parsed.data);
    }
    return err(new InvalidDocumentError(listFaults(parsed.error)));
}

/** The faults that a zod check found, each with its JSON Pointer. */
export function listFaults(error: z.ZodError): readonly DocumentFault[] {
    return error.issues.flatMap(issue => describeIssue(issue));
}

/** A JSON Pointer (RFC 6901) from path segments. */
export function formatPointer(path: readonly PropertyKey[]): string {
    return path.map(segment => `/${String(segment).replaceAll("~", "~0").replaceAll("/", "~1")}`).join("");
}

function describeIssue(issue: z.core.$ZodIssue): readonly DocumentFault[] {
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => ({ path: formatPointer([...issue.path, key]), message: "unknown key" }));
    }
    if (issue.code === "invalid_key") {
        const reason = issue.issues.map(inner => inner.message).join("; ");
        return [{ path: formatPointer(issue.path), message: `name ${reason}` }];
    }
    return [{ path: formatPointer(issue.path), message: issue.message }];
}

/** The runtime's message without the excerpt of the text, which may hold a secret. */
function describeSyntaxError(error: unknown): string {
    const message = error instanceof Error ? error.message : String(error);
    const position = /at position \d+( \(line \d+ column \d+\))?/.exec(message)?.[0];
    return position === undefined ? "unexpected end or token" : `unexpected token ${position}`;
}
