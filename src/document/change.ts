import { z } from "zod";

const pointer = z.string().regex(/^(\/([^~/]|~[01])*)*$/, "must be a JSON Pointer");
const offset = z.number().int().nonnegative();
/** Offset of a change, or -1 for an environment that has none yet. */
const basis = z.number().int().min(-1);

/** One operation of a JSON Patch (RFC 6902). */
export const patchOperationSchema = z.discriminatedUnion("op", [
    z.object({ op: z.literal("add"), path: pointer, value: z.unknown() }),
    z.object({ op: z.literal("replace"), path: pointer, value: z.unknown() }),
    z.object({ op: z.literal("test"), path: pointer, value: z.unknown() }),
    z.object({ op: z.literal("remove"), path: pointer }),
    z.object({ op: z.literal("move"), from: pointer, path: pointer }),
    z.object({ op: z.literal("copy"), from: pointer, path: pointer }),
]);

/** One operation of a JSON Patch (RFC 6902). */
export type PatchOperation = Readonly<z.infer<typeof patchOperationSchema>>;

/** A change proposed by an operator; accepted if its basis is the last accepted offset. */
export const changeRecordSchema = z.object({
    type: z.literal("change"),
    /** Unique; lets the writer find the record again after a lost answer. */
    id: z.string().min(1),
    basis,
    patch: z.array(patchOperationSchema).readonly(),
    author: z.string(),
    /** Set by `promote`: the accepted change of the other environment that this one takes over. */
    promotedFrom: z.object({ environment: z.string(), offset }).readonly().optional(),
});

/** The accepted document as some daemon computed it, so that it outlives the log's retention. */
export const snapshotRecordSchema = z.object({
    type: z.literal("snapshot"),
    /** Offset of the change that made the document. */
    accepted: offset,
    /** Last record that the writer had applied; between `accepted` and this one nothing was accepted. */
    upTo: offset,
    document: z.unknown(),
});

/** A whole document from an operator, for a log whose history is lost; accepted only right behind `upTo`. */
export const restoreRecordSchema = z.object({
    type: z.literal("restore"),
    id: z.string().min(1),
    upTo: z.number().int().min(-1),
    document: z.unknown(),
    author: z.string(),
});

/** Any record of an environment's document stream. */
export const documentRecordSchema = z.discriminatedUnion("type", [
    changeRecordSchema,
    snapshotRecordSchema,
    restoreRecordSchema,
]);

/** See {@link changeRecordSchema}. */
export type ChangeRecord = Readonly<z.infer<typeof changeRecordSchema>>;
/** See {@link snapshotRecordSchema}. */
export type SnapshotRecord = Readonly<z.infer<typeof snapshotRecordSchema>>;
/** See {@link restoreRecordSchema}. */
export type RestoreRecord = Readonly<z.infer<typeof restoreRecordSchema>>;

/** Name of an environment's document stream on the platform's log. */
export function formatDocumentStream(environment: string): string {
    return `document-${environment}`;
}
