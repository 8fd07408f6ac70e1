import { LynxarchError } from "../base/errors.js";

/** One fault of a document and where it is. */
export interface DocumentFault {
    /** JSON Pointer (RFC 6901) into the document; empty for the document as a whole. */
    readonly path: string;
    readonly message: string;
}

/** The document cannot be taken: it is no JSON, or breaks the schema. */
export class InvalidDocumentError extends LynxarchError {
    public readonly code = "invalid-document";

    public constructor(public readonly faults: readonly DocumentFault[]) {
        super(faults.map(fault => `${fault.path === "" ? "document" : fault.path}: ${fault.message}`).join("\n"));
    }
}

/** The patch does not fit the document it was made for. */
export class PatchError extends LynxarchError {
    public readonly code = "invalid-patch";
}
