import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { PatchOperation } from "../../src/document/change.js";
import { applyPatch, applyToWhole, comparePatch } from "../../src/document/patch.js";
import { buildDocument } from "./fixtures.js";

const target = buildDocument().targets["t1"];

/** A document in which entries refer to each other, so that patches can break the references. */
const base = {
    ...buildDocument(),
    clientAccounts: {
        club: { weight: 1, apiKeyHashes: [], services: ["chat"] },
        "a/b": { weight: 2, apiKeyHashes: [] },
    },
    services: {
        chat: buildDocument().services["chat"],
        book: { ...buildDocument().services["chat"], kind: "plain" as const },
    },
    dataCentres: { "gt-a": { region: "gt", state: "in" as const }, "gt-b": { region: "gt", state: "out" as const } },
    targets: { t1: target, t2: { ...target, dataCentre: "gt-b" } },
};

const pointer = fc.constantFrom(
    ...[
        "",
        "/targets",
        "/limits/retryRatio",
        "/targets/t1",
        "/targets/t2/state",
        "/targets/t3",
        "/targets/t1/coldLimit",
    ],
    ...["/targets/t1/services/0", "/targets/t1/services/-", "/targets/t1/dataCentre", "/dataCentres/gt-b", "/colour"],
    ...["/services/book", "/services/chat", "/services/chat/nonIdempotent", "/clientAccounts/a~1b", "/targets/no name"],
    ...["/clientAccounts/club/services", "/clientAccounts/club/weight", "/targets/__proto__/x", "/targets/constructor"],
);
const value = fc.oneof(
    fc.constantFrom<unknown>(1, 9, -1, "draining", "chat", "book", "constructor", "gt-b", ["book"], ["none"], target),
    fc.constantFrom<unknown>(base, base.services.chat, { kind: "model", deadlineMs: 5, longFromCost: 5 }, {}),
);
/** Operations that fit in most documents. */
const likely = fc.constantFrom<PatchOperation>(
    { op: "replace", path: "/targets/t1/state", value: "draining" },
    { op: "replace", path: "/targets/t2/services", value: ["book", "chat"] },
    { op: "add", path: "/targets/t3", value: target },
    { op: "move", from: "/targets/t2", path: "/targets/t4" },
    { op: "copy", from: "/clientAccounts/club", path: "/clientAccounts/other" },
    { op: "add", path: "/services/new", value: { kind: "plain", deadlineMs: 5, longFromCost: 5 } },
    { op: "remove", path: "/services/book" },
    { op: "remove", path: "/clientAccounts/club/services" },
    { op: "replace", path: "/dataCentres/gt-b/state", value: "in" },
);
const operation: fc.Arbitrary<PatchOperation> = fc.oneof(
    { weight: 3, arbitrary: likely },
    fc.record({ op: fc.constantFrom("add" as const, "replace" as const, "test" as const), path: pointer, value }),
    fc.record({ op: fc.constant("remove" as const), path: pointer }),
    fc.record({ op: fc.constantFrom("move" as const, "copy" as const), from: pointer, path: pointer }),
);

describe("applyPatch", () => {
    it("gives for touched entries the same outcome as copying and checking the whole document", () => {
        // A daemon that checks less than another would take a change that the other refuses; from then on each
        // accepts changes on its own document, and two documents are in force.
        const input = structuredClone(base);
        const seen = { taken: 0, refused: 0 };
        fc.assert(
            fc.property(fc.array(operation, { minLength: 1, maxLength: 3 }), patch => {
                const quick = applyPatch(input, patch);
                const whole = applyToWhole(input, patch);
                seen[quick.isOk() ? "taken" : "refused"]++;
                expect(quick.isOk()).toBe(whole.isOk());
                expect(quick.unwrapOr(undefined)).toEqual(whole.unwrapOr(undefined));
                expect(quick.isErr() && quick.error.code).toEqual(whole.isErr() && whole.error.code);
                expect(input).toEqual(base);
            }),
            { seed: 5, numRuns: 4_000 },
        );
        expect(seen.taken).toBeGreaterThan(300);
        expect(seen.refused).toBeGreaterThan(300);
    });

    it("names the path of a fault", () => {
        const patches: PatchOperation[][] = [
            [{ op: "replace", path: "/targets/t1/state", value: "gone" }],
            [{ op: "replace", path: "/targets/t1/dataCentre", value: "constructor" }],
            [{ op: "remove", path: "/services/chat" }],
            [{ op: "add", path: "/clientAccounts/no name", value: base.clientAccounts.club }],
            [{ op: "remove", path: "/targets/t9" }],
            [{ op: "add", path: "/targets/t1/__proto__/polluted", value: 1 }],
        ];
        expect(patches.map(patch => applyPatch(base, patch)._unsafeUnwrapErr().message)).toMatchInlineSnapshot(`
          [
            "/targets/t1/state: Invalid option: expected one of "serving"|"draining"",
            "/targets/t1/dataCentre: no data centre is named "constructor"",
            "/targets/t1/services/0: no service is named "chat"
          /targets/t2/services/0: no service is named "chat"
          /clientAccounts/club/services/0: no service is named "chat"",
            "/clientAccounts/no name: name must be 1 to 64 letters, digits, or . _ / -",
            "Cannot perform the operation at a path that does not exist",
            "JSON-Patch: modifying \`__proto__\` or \`constructor/prototype\` prop is banned for security reasons, if this was on purpose, please set \`banPrototypeModifications\` flag false and pass it to this function. More info in fast-json-patch README",
          ]
        `);
        expect(({} as { polluted?: number }).polluted).toBeUndefined();
    });

    it("takes the patch between any two documents", () => {
        const next = {
            ...base,
            targets: { t2: base.targets.t2, t4: target },
            limits: { ...base.limits, retryRatio: 0.5 },
        };
        const patch = comparePatch(base, next)._unsafeUnwrap();
        expect(applyPatch(base, patch)._unsafeUnwrap()).toEqual(next);
    });
});
