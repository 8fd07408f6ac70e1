import jsonPatch from "fast-json-patch";
import type { PatchOperation } from "./change.js";
import type { EnvironmentDocument } from "./schema.js";

/** One difference between two documents. */
export interface DocumentDifference {
    readonly kind: "added" | "removed" | "changed";
    /** JSON Pointer (RFC 6901). */
    readonly path: string;
    readonly before?: unknown;
    readonly after?: unknown;
}

/** What a patch changes in a document, operation by operation. */
export function describePatch(
    document: EnvironmentDocument | undefined,
    patch: readonly PatchOperation[],
): readonly DocumentDifference[] {
    let current: unknown = document ?? {};
    const differences: DocumentDifference[] = [];
    for (const operation of patch) {
        const before = getValue(current, operation.path);
        current = jsonPatch.applyPatch(current, [jsonPatch.deepClone(operation)], false, false).newDocument;
        const after = operation.op === "remove" ? undefined : getValue(current, operation.path);
        if (operation.op !== "test") {
            differences.push(buildDifference(operation.path, before, after));
        }
    }
    return differences;
}

/** A difference as one line for people. */
export function formatDifference(difference: DocumentDifference): string {
    const { kind, path, before, after } = difference;
    switch (kind) {
        case "added":
            return `+ ${path}: ${JSON.stringify(after)}`;
        case "removed":
            return `- ${path}: ${JSON.stringify(before)}`;
        case "changed":
            return `~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
    }
}

function buildDifference(path: string, before: unknown, after: unknown): DocumentDifference {
    if (before === undefined) {
        return { kind: "added", path, after };
    }
    return after === undefined ? { kind: "removed", path, before } : { kind: "changed", path, before, after };
}

function getValue(document: unknown, path: string): unknown {
    try {
        return jsonPatch.getValueByPointer(document, path) as unknown;
    } catch {
        return undefined;
    }
}
