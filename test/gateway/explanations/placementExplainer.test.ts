import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { ModelRouter } from "../../../bench/gateway/modelRouter.js";
import { ManualClock } from "../../../src/base/clock.js";
import type { Random } from "../../../src/base/random.js";
import { SeededRandom } from "../../../src/base/random.js";
import { renderExplanation } from "../../../src/cli/commands/explainPlacement.js";
import { PlacementExplainer } from "../../../src/gateway/explanations/placementExplainer.js";
import type { PlacementQuestion } from "../../../src/gateway/explanations/placementExplanation.js";
import type { TargetEntry } from "../../../src/gateway/fleetSource.js";
import { TargetSelector } from "../../../src/gateway/targetSelector.js";

const route = {
    host: "fleet.example",
    pathPrefix: "/",
    timeoutMs: 8_000,
    objectiveMs: 800,
    maxAttempts: 1,
    priority: 1,
    isPublic: false,
    isResumable: false,
    pauseObjectiveMs: 600,
};
const service = { maxConnections: 100, coldStartMs: 0, coldRequestsPerSecond: 1 };
const engine = {
    slots: 8,
    cacheTokens: 100_000,
    tokensPerEvent: 1,
    bytesPerToken: 64_000,
    transferBytesPerMs: 1_000_000,
};
const question: PlacementQuestion = {
    route: "r-plan",
    account: "north",
    parts: [
        { id: "shared", tokens: 4_000 },
        { id: "own", tokens: 500 },
    ],
    maxOutputTokens: 50,
};

/** The same request as a caller sends it. */
const head = {
    promptParts: question.parts,
    promptTokens: 4_500,
    maxOutputTokens: 50,
    requestId: "r",
    remainingMs: undefined,
    apiKey: undefined,
    lastEventId: undefined,
    resumedRequestId: undefined,
};

/** Counts the numbers that were drawn. */
class CountingRandom implements Random {
    private readonly random = new SeededRandom(1);
    public drawn = 0;

    public next(): number {
        this.drawn += 1;
        return this.random.next();
    }
}

function createEntry(id: string, changes: Partial<TargetEntry> = {}): TargetEntry {
    return {
        id,
        service: "engines",
        address: "10.1.0.1:1",
        dataCentre: "a",
        slots: 8,
        state: "ready",
        coldLeftMs: 0,
        version: "v1",
        startedAtMs: undefined,
        ...changes,
    };
}

interface Fleet {
    readonly router: ModelRouter;
    readonly random: CountingRandom;
    readonly explainer: PlacementExplainer;
    readonly explain: (changes?: Partial<PlacementQuestion>) => readonly string[];
}

/** A router before engines of which one is usable without a wait, one is far, and the others are excluded. */
function createFleet(): Fleet {
    const clock = new ManualClock();
    const random = new CountingRandom();
    const router = new ModelRouter({
        index: 0,
        clock,
        random,
        windowMs: 4_000,
        getExactUses: undefined,
        transport: { send: () => true },
        setTimer: () => ({ dispose: () => undefined }),
        targets: [
            createEntry("e-near"),
            createEntry("e-far", { dataCentre: "b" }),
            createEntry("e-leaving", { state: "draining" }),
            createEntry("e-out", { dataCentre: "c" }),
            createEntry("e-cold", { coldLeftMs: 60_000 }),
            createEntry("e-failing"),
            createEntry("e-pausing"),
            createEntry("p-1", { service: "app" }),
            createEntry("p-full", { service: "app", slots: 1 }),
        ],
        configuration: {
            version: 3,
            routes: [
                {
                    ...route,
                    name: "r-plan",
                    kind: "stream",
                    hasPrompts: true,
                    destinations: [
                        { service: "engines", weight: 3 },
                        { service: "spare", weight: 1 },
                    ],
                },
                {
                    ...route,
                    name: "r-book",
                    kind: "non-idempotent",
                    hasPrompts: false,
                    destinations: [{ service: "app", weight: 1 }],
                },
            ],
            services: [
                { ...service, name: "engines", engine },
                { ...service, name: "spare", engine },
                { ...service, name: "app", engine: undefined },
            ],
            accounts: [{ name: "north", apiKeys: ["k"], priority: undefined }],
            limits: {
                maxHeaderBytes: 1_000,
                maxBodyBytes: 1_000,
                headerTimeoutMs: 1_000,
                idleTimeoutMs: 1_000,
                tokensPerSecond: 100_000,
            },
        },
    });
    const { directory } = router;
    directory.applyChange({ kind: "data-centre", dataCentre: "c", isOut: true });
    directory.find("e-far")?.recordPart("shared", 4_000);
    directory.find("p-full")!.ownRunning = 1;
    const failing = directory.find("e-failing")!;
    for (let failure = 0; !failing.circuit.isOpen; failure++) {
        failing.circuit.observeFailure(`f${failure}`, clock.nowMs());
    }
    directory.find("e-pausing")?.availability.pause.record(5_000, clock.nowMs());
    const explainer = new PlacementExplainer(router.context, () => 120);
    return {
        router,
        random,
        explainer,
        explain: changes => {
            const answer = explainer.explain({ ...question, ...changes });
            return answer.kind === "explained" ? renderExplanation(answer.explanation) : [JSON.stringify(answer)];
        },
    };
}

describe("the explanation of a placement", () => {
    it("lists the candidates with their costs, why others are excluded, and the decision", () => {
        expect(`\n${createFleet().explain().join("\n")}\n`).toMatchInlineSnapshot(`
          "
          router edge-dc-central-a-0 in a, configuration 3, 0 other routers, targets as of 120 ms ago
          request on r-plan (objective 800 ms): 4500 prompt tokens, 50 expected output tokens, charged 4600
          account north: share 0, surplus 0, may use 1.5 of an engine's limit; other routers' sums 0 ms old
          service engines, tried first by 75 % of requests
            TARGET   DATA CENTRE  VERSION  COST MS  savedMs  queueMs  prefillMs  copyMs  batchMs  distanceMs  memoryMs  NEW  QUEUED  RUNNING  COPY
            e-far*   b            v1       20.7     133.3    0        16.7       0       0        4           0         500  0       0 of 8   -
            e-near*  a            v1       475.7    0        0        16.7       459     0        0           0         500  0       0 of 8   4000 from e-far
            not e-leaving: leaving
            not e-out: data-centre-out
            not e-cold: cold
            not e-failing: circuit-open
            not e-pausing: pausing
          service spare, tried first by 25 % of requests
            no target can receive it
          placed: e-far of engines, expected after 57 ms, 57 ms without other load
          bounds: wait at most 543 ms, at most 1.5 of the engine's limit, beyond that refused as late
          decision: edge-dc-central-a-0 owns the engine and would be asked; without its reply admitted
          "
        `);
    });

    it("of a request without prompt shows the targets by wait and batch", () => {
        const lines = createFleet().explain({ route: "r-book", parts: [], maxOutputTokens: 0 });
        expect(`\n${lines.join("\n")}\n`).toMatchInlineSnapshot(`
          "
          router edge-dc-central-a-0 in a, configuration 3, 0 other routers, targets as of 120 ms ago
          request on r-book (objective 800 ms): 0 prompt tokens, 0 expected output tokens, charged 0
          account north: share 0, surplus 0, may use 1.5 of an engine's limit; other routers' sums 0 ms old
          service app, tried first by 100 % of requests
            TARGET  DATA CENTRE  VERSION  COST MS  wait  batch  distance  NEW  QUEUED  RUNNING  COPY
            p-1*    a            v1       0        0     0      0         0    0       0 of 8   -
            not p-full: full-while-others-have-capacity
          placed: p-1 of app, expected after 0 ms, 0 ms without other load
          decision: admitted, as it waits no longer than 480 ms
          "
        `);
    });

    // Engines look idle by their loads, but their owners have just denied such requests and would not be asked again.
    it("shows a denial that still applies", () => {
        const { router, explain } = createFleet();
        for (const id of ["e-near", "e-far"]) {
            router.directory.find(id)!.applyGrantReply(
                {
                    kind: "reply",
                    grantId: 1,
                    granted: false,
                    isTargetKnown: true,
                    newTokens: 0,
                    queuedTokens: 900,
                    usage: 1,
                    maxUsage: 1.5,
                    retryAfterMs: 700,
                },
                router.context.clock.nowMs(),
            );
        }
        expect(explain().slice(-3)).toMatchInlineSnapshot(`
          [
            "placed: e-far of engines, expected after 1.5 s, 57 ms without other load",
            "bounds: wait at most 543 ms, at most 1.5 of the engine's limit, beyond that refused as late",
            "decision: refused as late by a recent denial that holds for 700 ms; retry after 700 ms",
          ]
        `);
    });

    it("says that no target is left", () => {
        const { router, explain } = createFleet();
        for (const dataCentre of ["a", "b"]) {
            router.directory.applyChange({ kind: "data-centre", dataCentre, isOut: true });
        }
        expect(explain().slice(-2)).toMatchInlineSnapshot(`
          [
            "placed: nowhere",
            "decision: refused as no-target, retry after 300 ms",
          ]
        `);
    });

    it("names routes that exist, and an account that does not", () => {
        const { explain } = createFleet();
        expect([explain({ route: "r-other" }), explain({ account: "south" })]).toMatchInlineSnapshot(`
          [
            [
              "{"kind":"unknown-route","known":["r-plan","r-book"]}",
            ],
            [
              "{"kind":"unknown-account"}",
            ],
          ]
        `);
    });

    // The explanation would name another target than the one that requests are sent to.
    it("chooses the target that a request is sent to", () => {
        const anyLoad = fc.record({ waiting: fc.nat(20_000), running: fc.nat(10), hasOwnPart: fc.boolean() });
        fc.assert(
            fc.property(fc.tuple(anyLoad, anyLoad), loads => {
                const { router, explainer } = createFleet();
                const { context, directory } = router;
                for (const [index, id] of ["e-near", "e-far"].entries()) {
                    const { waiting, running, hasOwnPart } = loads[index];
                    const target = directory.find(id)!;
                    target.ownWaitingTokens = waiting;
                    target.ownRunning = running;
                    // Engines with the first part are compared by each request.
                    target.recordPart("shared", 4_000);
                    if (hasOwnPart) {
                        target.recordPart("own", 500);
                    }
                }
                const answer = explainer.explain(question);
                const selection = new TargetSelector(context).select(["engines"], head, true, () => false, 1.5);
                const { target, expectedMs, unloadedMs } = selection!;
                expect(answer.kind === "explained" && answer.explanation.chosen).toEqual({
                    service: "engines",
                    target: target.id,
                    expectedMs,
                    unloadedMs,
                });
            }),
            { seed: 20_261_204, numRuns: 100 },
        );
    });

    // The command would change what it explains: draw numbers that requests would have drawn, take grants, or count as a sample.
    it("changes nothing that requests depend on", () => {
        const { router, random, explain } = createFleet();
        const { context } = router;
        const selector = new TargetSelector(context);
        const describeState = (): object => ({
            drawn: random.drawn,
            idleShare: context.idleShares.getOrCreate("engines").current,
            accounts: [...context.shares.listOwnAccounts(context.clock.nowMs()).accounts],
            targets: context.directory
                .listAll()
                .map(target => [
                    target.id,
                    target.waitingTokens,
                    target.running,
                    target.hasUnreportedTokens,
                    target.hasPart("shared"),
                    target.hasPart("own"),
                    target.circuit.probeAtMs,
                ]),
        });
        selector.select(["engines"], head, true, () => false, 0.5);
        const before = describeState();
        explain();
        explain({ route: "r-book", parts: [] });
        expect(describeState()).toEqual(before);
    });
});
