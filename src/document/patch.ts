import jsonPatch, { type Operation } from "fast-json-patch";
import { err, ok, type Result } from "neverthrow";
import type { PatchOperation } from "./change.js";
import { InvalidDocumentError, PatchError, type DocumentFault } from "./documentErrors.js";
import { checkDocument, formatPointer, listFaults } from "./parseDocument.js";
import { documentSchema, listReferenceFaults, type EnvironmentDocument } from "./schema.js";

/** Parts of the document that hold named entries, which can be checked one at a time. */
const sectionNames = ["clientAccounts", "services", "dataCentres", "targets"] as const;
type SectionName = (typeof sectionNames)[number];

/** An entry that a patch reads or writes. */
interface TouchedEntry {
    readonly section: SectionName;
    readonly entry: string;
}

type Section = Record<string, unknown>;
type Draft = Record<string, unknown> & Record<SectionName, Section>;

/**
 * Applies a patch and checks the outcome; the input stays as it is. Errors: patch does not fit; document invalid.
 *
 * Most changes touch one entry of thousands. Copying and checking all the rest for each would cost every daemon more
 * than its share of a core at the target size, so only entries that the patch names are copied and checked; what spans
 * entries is checked over the whole document. A patch that names anything else is checked in full.
 */
export function applyPatch(
    document: EnvironmentDocument | undefined,
    patch: readonly PatchOperation[],
): Result<EnvironmentDocument, PatchError | InvalidDocumentError> {
    const touched = listTouchedEntries(patch);
    return document === undefined || touched === undefined
        ? applyToWhole(document ?? {}, patch)
        : applyToEntries(document, patch, touched);
}

/** The patch that turns one document into the other. Errors: none does. */
export function comparePatch(
    from: EnvironmentDocument | undefined,
    to: EnvironmentDocument,
): Result<readonly PatchOperation[], PatchError> {
    const patch = jsonPatch.compare(from ?? {}, to) as PatchOperation[];
    const patched = applyPatch(from, patch);
    if (patched.isOk() && jsonPatch.compare(patched.value, to).length === 0) {
        return ok(patch);
    }
    return err(new PatchError("no patch leads from the one document to the other"));
}

/** Applies a patch by copying and checking everything. */
export function applyToWhole(
    document: object,
    patch: readonly PatchOperation[],
): Result<EnvironmentDocument, PatchError | InvalidDocumentError> {
    return runPatch(jsonPatch.deepClone(document) as object, patch).andThen(patched => checkDocument(patched));
}

/** Undefined when the patch touches more than entries of the sections. */
function listTouchedEntries(patch: readonly PatchOperation[]): readonly TouchedEntry[] | undefined {
    const pointers = patch.flatMap(operation =>
        "from" in operation ? [operation.from, operation.path] : [operation.path],
    );
    const touched: TouchedEntry[] = [];
    for (const pointer of pointers) {
        const [, first, entry] = pointer.split("/").map(jsonPatch.unescapePathComponent);
        const section = sectionNames.find(name => name === first);
        if (section === undefined || entry === undefined) {
            return undefined;
        }
        touched.push({ section, entry });
    }
    return touched;
}

function applyToEntries(
    document: EnvironmentDocument,
    patch: readonly PatchOperation[],
    touched: readonly TouchedEntry[],
): Result<EnvironmentDocument, PatchError | InvalidDocumentError> {
    const draft = { ...document } as unknown as Draft;
    for (const section of new Set(touched.map(each => each.section))) {
        draft[section] = { ...draft[section] };
    }
    for (const { section, entry } of touched) {
        if (Object.hasOwn(draft[section], entry)) {
            draft[section][entry] = jsonPatch.deepClone(draft[section][entry]);
        }
    }
    return runPatch(draft, patch).andThen(() => checkEntries(draft, touched));
}

function checkEntries(
    draft: Draft,
    touched: readonly TouchedEntry[],
): Result<EnvironmentDocument, InvalidDocumentError> {
    const faults = touched.flatMap(each => checkEntry(draft, each));
    if (faults.length > 0) {
        return err(new InvalidDocumentError(faults));
    }
    const document = draft as unknown as EnvironmentDocument;
    const references = listReferenceFaults(pickReferring(document, touched));
    if (references.length === 0) {
        return ok(document);
    }
    const described = references.map(({ path, message }) => ({ path: formatPointer(path), message }));
    return err(new InvalidDocumentError(described));
}

/** The entries whose references may be broken: the touched ones, or all when something they refer to was touched. */
function pickReferring(document: EnvironmentDocument, touched: readonly TouchedEntry[]): EnvironmentDocument {
    if (touched.some(({ section }) => section === "services" || section === "dataCentres")) {
        return document;
    }
    const pick = <T>(section: SectionName, entries: Readonly<Record<string, T>>): Readonly<Record<string, T>> =>
        Object.fromEntries(
            touched
                .filter(each => each.section === section && Object.hasOwn(entries, each.entry))
                .map(({ entry }) => [entry, entries[entry]]),
        );
    return {
        ...document,
        targets: pick("targets", document.targets),
        clientAccounts: pick("clientAccounts", document.clientAccounts),
    };
}

/** Puts the checked entry, with its defaults, into the draft. */
function checkEntry(draft: Draft, { section, entry }: TouchedEntry): readonly DocumentFault[] {
    if (!Object.hasOwn(draft[section], entry)) {
        return [];
    }
    const parsed = documentSchema.shape[section].safeParse({ [entry]: draft[section][entry] });
    if (!parsed.success) {
        return listFaults(parsed.error).map(({ path, message }) => ({ path: `/${section}${path}`, message }));
    }
    draft[section][entry] = parsed.data[entry];
    return [];
}

/** Changes the document in place. */
function runPatch(document: object, patch: readonly PatchOperation[]): Result<unknown, PatchError> {
    try {
        const operations = jsonPatch.deepClone(patch) as Operation[];
        // Operations are checked before each step; writes to prototypes are refused.
        return ok(jsonPatch.applyPatch<unknown>(document, operations, true, true, true).newDocument);
    } catch (error) {
        return err(new PatchError(describePatchFailure(error)));
    }
}

/** The library's messages carry the whole document; only the first line is fit to print. */
function describePatchFailure(error: unknown): string {
    const message = error instanceof Error ? error.message : String(error);
    return message.split("\n", 1)[0];
}
