import { describe, expect, it } from "vitest";
import { hashFast } from "../../../src/base/hash.js";
import { SeededRandom } from "../../../src/base/random.js";
import { CachedParts } from "../../../src/decisions/placement/cachedParts.js";
import { pickCandidates } from "../../../src/decisions/placement/candidateSample.js";
import { findLocalPreferredTarget } from "../../../src/decisions/placement/localEngines.js";
import {
    choosePromptPlacement,
    type PromptCandidate,
    type PromptRequest,
} from "../../../src/decisions/placement/promptPlacement.js";

interface Engine extends PromptCandidate {
    readonly parts: readonly string[];
}

function createEngine(id: string, changes: Partial<Engine> = {}): Engine {
    const parts = changes.parts ?? [];
    return {
        id,
        idHash: hashFast(id),
        dataCentre: "a",
        waitingTokens: 0,
        speedFactor: 1,
        running: 0,
        slots: 64,
        parts,
        hasPart: partId => parts.includes(partId),
        ...changes,
    };
}

const transfer = { setupMs: 3, msPerToken: 0.008 };
const request: PromptRequest = {
    parts: [
        { id: "calendar", tokens: 5_000 },
        { id: "own", tokens: 1_000 },
    ],
    promptTokens: 6_000,
    dataCentre: "a",
    tokensPerMs: 60,
    transfer,
};

describe("choosePromptPlacement", () => {
    it("weighs what is saved against what is paid, at the engine's own speed", () => {
        const engines = [
            createEngine("holder", {
                parts: ["calendar"],
                waitingTokens: 600,
                running: 2,
                speedFactor: 2,
                dataCentre: "b",
            }),
        ];
        const cost = choosePromptPlacement(engines, request)?.cost;
        const rounded = Object.entries(cost ?? {}).map(([term, ms]) => [term, Math.round(ms)]);
        expect(Object.fromEntries(rounded)).toMatchInlineSnapshot(`
          {
            "batchMs": 6,
            "copyMs": 0,
            "distanceMs": 4,
            "memoryMs": 0,
            "prefillMs": 33,
            "queueMs": 20,
            "savedMs": 167,
          }
        `);
    });

    // Three quarters of requests crossed data centres, each with its body.
    it("pays for the request's bytes where their cost is set", () => {
        const engines = [createEngine("far", { dataCentre: "b" }), createEngine("near", { waitingTokens: 900 })];
        const choose = (interDataCentreMs?: number): string | undefined =>
            choosePromptPlacement(engines, {
                ...request,
                parts: [{ id: "own", tokens: 1_000 }],
                promptTokens: 1_000,
                ...(interDataCentreMs !== undefined && { interDataCentreMs }),
            })?.candidate.id;
        expect([choose(), choose(1), choose(20)]).toEqual(["far", "far", "near"]);
    });

    it("first places a part that no engine has in the request's data centre", () => {
        const partIds = Array.from({ length: 20 }, (...[, index]) => `part-${index}`);
        const engines = ["a", "b", "b", "b"].map((dataCentre, index) => createEngine(`e${index}`, { dataCentre }));
        const cached = [...engines, createEngine("holder", { dataCentre: "b", parts: partIds })];
        const busy = engines.map(engine => ({ ...engine, waitingTokens: engine.dataCentre === "a" ? 61_000 : 0 }));
        const choose = (candidates: readonly Engine[], dataCentre: string): ReadonlySet<string | undefined> => {
            const local = { dataCentre, tokensPerMs: 60, maxQueueMs: 1_000 };
            return new Set(partIds.map(id => findLocalPreferredTarget(candidates, id, local)?.dataCentre));
        };
        expect([choose(engines, "a"), choose(engines, "c"), choose(cached, "a"), choose(busy, "a")]).toEqual([
            new Set(["a"]),
            new Set(["a", "b"]),
            new Set(["a", "b"]),
            new Set(["a", "b"]),
        ]);
    });

    // Of 36 engines in four data centres, three random ones are all elsewhere for every other request.
    it("compares an engine of the request's data centre where one has free capacity", () => {
        const random = new SeededRandom(3);
        const createEngines = (waitingTokens: number): readonly Engine[] =>
            Array.from({ length: 36 }, (...[, index]) => {
                return createEngine(`e${index}`, { dataCentre: index < 35 ? "b" : "a", waitingTokens });
            });
        const local = { dataCentre: "a", tokensPerMs: 60, maxQueueMs: 1_000 };
        const countLocal = (engines: readonly Engine[], request?: typeof local): number =>
            Array.from({ length: 20 }, () => pickCandidates(engines, undefined, [], random, request)).filter(picked =>
                picked.some(({ dataCentre }) => dataCentre === "a"),
            ).length;
        expect(countLocal(createEngines(0), local)).toBe(20);
        expect(countLocal(createEngines(0))).toBeLessThan(10);
        expect(countLocal(createEngines(61_000), local)).toBeLessThan(10);
    });

    // An engine that has cached a part, but no memory for the rest, would preempt requests.
    it("prefers an engine with free memory, and sends nothing where it does not fit unless no engine is known to have room", () => {
        const choose = (held: number | undefined, ...others: readonly Engine[]): string | undefined =>
            choosePromptPlacement([createEngine("holder", { parts: ["calendar"], heldTokens: held }), ...others], {
                ...request,
                transfer: undefined,
                memoryTokens: 50_000,
            })?.candidate.id;
        const other = createEngine("other", { heldTokens: 1_000 });
        expect([
            choose(39_000, other),
            choose(48_500, other),
            choose(Number.NaN, other),
            choose(undefined, other),
        ]).toEqual(["holder", "other", "holder", "holder"]);
        expect(choose(50_000)).toBe("holder");
    });

    // A slow engine must not get as many prompts as a fast one.
    it("prefers a fast engine with a longer queue to a slow one", () => {
        const engines = [
            createEngine("slow", { parts: ["calendar"], waitingTokens: 6_000, speedFactor: 1.5 }),
            createEngine("fast", { parts: ["calendar"], waitingTokens: 9_000, speedFactor: 0.6 }),
        ];
        expect(choosePromptPlacement(engines, request)?.candidate.id).toBe("fast");
    });

    // The engine that has cached the shared part has a second of prefill queued. Other engines would have to prefill the part again, in
    // 83 ms that delay all streams there; a copy takes 43 ms of the request's own time.
    it("selects an idle engine that copies the shared part, if the engine that has cached it has a queue", () => {
        const engines = [createEngine("holder", { parts: ["calendar"], waitingTokens: 60_000 }), createEngine("idle")];
        const placement = choosePromptPlacement(engines, request);
        expect({
            engine: placement?.candidate.id,
            from: placement?.fetch?.from.id,
            tokens: placement?.fetch?.tokens,
            ms: placement?.fetch?.ms,
            newTokens: placement?.newTokens,
        }).toMatchInlineSnapshot(`
          {
            "engine": "idle",
            "from": "holder",
            "ms": 43,
            "newTokens": 1000,
            "tokens": 5000,
          }
        `);
    });

    it("selects the engine that has cached the part while its queue costs less than a copy", () => {
        const engines = [createEngine("holder", { parts: ["calendar"], waitingTokens: 6_000 }), createEngine("idle")];
        const placement = choosePromptPlacement(engines, request);
        expect([placement?.candidate.id, placement?.fetch]).toEqual(["holder", undefined]);
    });

    it("prefills the part again if engines can't copy, and copies from an engine that is no candidate", () => {
        const idle = createEngine("idle");
        const holder = createEngine("holder", { parts: ["calendar"] });
        const withoutCopy = choosePromptPlacement([idle], { ...request, transfer: undefined }, [holder, idle]);
        const withCopy = choosePromptPlacement([idle], request, [holder, idle]);
        expect([withoutCopy?.newTokens, withoutCopy?.fetch, withCopy?.fetch?.from.id]).toEqual([
            6_000,
            undefined,
            "holder",
        ]);
    });

    it("does not copy a part that is prefilled within the setup time of a copy", () => {
        const small = { ...request, parts: [{ id: "calendar", tokens: 200 }, request.parts[1]], promptTokens: 1_200 };
        const engines = [createEngine("holder", { parts: ["calendar"], waitingTokens: 60_000 }), createEngine("idle")];
        expect(choosePromptPlacement(engines, small)?.fetch).toBeUndefined();
    });
});

describe("the estimate of an engine's cached parts", () => {
    const cacheTokens = 100_000;
    const ownTokens = 6_000;
    const sharedTokens = 2_000;

    // Other routers send an engine prompts whose own parts are not reported to this router. These evict a shared part; if it were still
    // assumed to be cached, it would be prefilled again for each request that is sent to the engine because of it.
    it("drops a part when all routers together have written as many tokens as the cache holds", () => {
        const estimate = new CachedParts(cacheTokens);
        estimate.recordUse("calendar", sharedTokens);
        const isCached = [];
        for (let written = 0; written <= cacheTokens; written += 25_000) {
            isCached.push(estimate.has("calendar"));
            estimate.recordWritten(25_000);
        }
        expect(isCached).toEqual([true, true, true, true, false]);
    });

    // Running requests and cached parts share the memory: parts would count as cached that running requests have overwritten.
    it("drops a part the earlier the more running requests hold, unless one of them holds the part", () => {
        const countKept = (ownTokens: number, heldPart?: string): number => {
            const estimate = new CachedParts(cacheTokens, () => ({
                ownTokens,
                heldTokens: ownTokens,
                hasPart: id => id === heldPart,
            }));
            estimate.recordUse("calendar", sharedTokens);
            let written = 0;
            while (estimate.has("calendar") && written < 2 * cacheTokens) {
                estimate.recordWritten(1_000);
                written += 1_000;
            }
            return written;
        };
        expect([countKept(0), countKept(50_000), countKept(90_000), countKept(90_000, "calendar")]).toEqual([
            91_000, 41_000, 23_000, 200_000,
        ]);
    });

    it("requests a report to peers for a part that is new or was not reported for long, and not for each use", () => {
        const estimate = new CachedParts(cacheTokens);
        const shouldReport = [];
        for (let use = 0; use < 5; use++) {
            shouldReport.push(estimate.recordUse("calendar", sharedTokens));
            estimate.recordWritten(ownTokens);
        }
        expect(shouldReport).toEqual([true, false, false, false, true]);
    });

    // Two routers send to one engine in random order, with 40 shared parts of skewed popularity. Parts that the first router assumes to be
    // cached must be in the engine's cache: a fraction of 0.99 is; an estimate that counts only the router's own parts reaches 0.88.
    it("is mostly correct while another router sends requests", () => {
        const random = new SeededRandom(3);
        const estimate = new CachedParts(cacheTokens);
        const engine = new Map<string, number>();
        let correct = 0;
        let estimated = 0;
        for (let index = 0; index < 4_000; index++) {
            const part = `part-${Math.floor(random.next() ** 2 * 40)}`;
            const isOwn = random.next() < 0.5;
            if (isOwn && estimate.has(part)) {
                estimated += 1;
                correct += engine.has(part) ? 1 : 0;
            }
            estimate.recordWritten(ownTokens + (engine.has(part) ? 0 : sharedTokens));
            addToEngine(engine, part, sharedTokens);
            addToEngine(engine, `own-${index}`, ownTokens);
            if (isOwn) {
                estimate.recordUse(part, sharedTokens);
            }
        }
        expect(correct / estimated).toBeGreaterThan(0.95);
    });

    /** Adds a part to an engine's cache and evicts the least recently used parts beyond its capacity. */
    function addToEngine(engine: Map<string, number>, part: string, tokens: number): void {
        engine.delete(part);
        engine.set(part, tokens);
        let total = [...engine.values()].reduce((sum, size) => sum + size, 0);
        for (const [oldest, size] of engine) {
            if (total <= cacheTokens) {
                break;
            }
            engine.delete(oldest);
            total -= size;
        }
    }
});
