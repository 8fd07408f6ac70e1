import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { SimulatedCondition } from "../../fakes/usersPlatform/simulatedStore.js";
import { TargetRecordsFixture } from "./targetRecordsFixture.js";

const seed = 43;
/** More by hand: DEPARTURE_RUNS=2000 npx vitest run test/gateway/targetRecords. */
const numRuns = Number(process.env.DEPARTURE_RUNS ?? 40);
const targets = 6;
const spanMs = 24_000;
const tickMs = 20;
const startMs = 4_000;
/** Between disturbances: a router that gets no answer for longer can't know. */
const leastGapMs = 2_500;

const impairments = ["silent", "refusing", "resetting"] as const;

interface Disturbance {
    readonly kind: SimulatedCondition;
    readonly gapMs: number;
    readonly forMs: number;
}

interface Departure {
    readonly atMs: number;
    readonly how: "removed" | "draining";
    /** The store's history is dropped at that moment. */
    readonly dropsHistory: boolean;
}

interface Plan {
    readonly disturbances: readonly Disturbance[];
    readonly departures: readonly Departure[];
    readonly bounds: { readonly drainMs: number; readonly contactMs: number };
    readonly seed: number;
}

const gapMs = fc.integer({ min: leastGapMs, max: 8_000 });
const disturbance: fc.Arbitrary<Disturbance> = fc.oneof(
    fc.record({ kind: fc.constantFrom(...impairments), gapMs, forMs: fc.integer({ min: 20, max: 6_000 }) }),
    fc.record({ kind: fc.constant("stalled" as const), gapMs, forMs: fc.integer({ min: 20, max: 1_000 }) }),
    fc.record({ kind: fc.constant("losing" as const), gapMs, forMs: fc.integer({ min: 20, max: 300 }) }),
    fc.record({ kind: fc.constant("throttling" as const), gapMs, forMs: fc.integer({ min: 20, max: 300 }) }),
);
const plan: fc.Arbitrary<Plan> = fc.record({
    disturbances: fc.array(disturbance, { maxLength: 4 }),
    departures: fc.array(
        fc.record({
            atMs: fc.integer({ min: startMs, max: spanMs - 5_000 }),
            how: fc.constantFrom("removed" as const, "draining" as const),
            dropsHistory: fc.boolean(),
        }),
        { minLength: 1, maxLength: targets },
    ),
    bounds: fc.constantFrom({ drainMs: 2_000, contactMs: 3_000 }, { drainMs: 3_000, contactMs: 4_000 }),
    seed: fc.integer({ min: 1, max: 1_000 }),
});

/** When the store's condition changes, and whether the bounds hold meanwhile. */
class StoreSchedule {
    private readonly spans: readonly {
        readonly kind: SimulatedCondition;
        readonly from: number;
        readonly to: number;
    }[];

    public constructor(disturbances: readonly Disturbance[]) {
        let atMs = startMs;
        this.spans = disturbances.map(({ kind, gapMs, forMs }) => {
            const from = atMs + gapMs;
            atMs = from + forMs;
            return { kind, from, to: atMs };
        });
    }

    public findCondition(nowMs: number): SimulatedCondition {
        return this.spans.find(({ from, to }) => nowMs >= from && nowMs < to)?.kind ?? "up";
    }

    /** Whether the store has not been impaired for the time after which its acknowledgements bind. */
    public isStable(nowMs: number, contactMs: number): boolean {
        return !this.spans.some(({ kind, from, to }) => {
            return impairments.some(other => other === kind) && from <= nowMs && to > nowMs - contactMs;
        });
    }
}

/** Targets that could get requests though the bound on draining was over, by when. */
async function listBreaches({ disturbances, departures, bounds, seed: random }: Plan): Promise<readonly string[]> {
    const { drainMs, contactMs } = bounds;
    const scene = new TargetRecordsFixture(drainMs, contactMs, random);
    const schedule = new StoreSchedule(disturbances);
    const breaches = new Set<string>();
    departures.forEach((...[, index]) => scene.writeRecord(`target-${index + 1}`));
    scene.start();
    for (let nowMs = 0; nowMs < spanMs; nowMs += tickMs) {
        scene.store.condition = schedule.findCondition(nowMs);
        for (const [index, { atMs, how, dropsHistory }] of departures.entries()) {
            const id = `target-${index + 1}`;
            if (atMs >= nowMs && atMs < nowMs + tickMs) {
                writeLeaving(scene, id, how, dropsHistory);
            }
            const isBound = nowMs > atMs + tickMs + drainMs && schedule.isStable(atMs, contactMs);
            if (isBound && schedule.isStable(nowMs, contactMs) && scene.isOpen(id)) {
                breaches.add(`${id} ${how} at ${atMs}, open at ${nowMs}`);
            }
        }
        await scene.advance(tickMs);
    }
    scene.dispose();
    return [...breaches];
}

function writeLeaving(scene: TargetRecordsFixture, id: string, how: Departure["how"], dropsHistory: boolean): void {
    if (how === "removed") {
        scene.removeRecord(id);
    } else {
        scene.writeRecord(id, "draining");
    }
    if (dropsHistory) {
        scene.removeHistory();
    }
}

describe("targets that leave while the store is away, refuses, resets, throttles, loses answers, stalls or drops history", () => {
    // Whatever the order, a request that reaches a target later than the bound breaks what its operators were promised.
    it("get nothing once the bound on draining is over", async () => {
        await fc.assert(
            fc.asyncProperty(plan, async sequence => {
                expect(await listBreaches(sequence)).toEqual([]);
            }),
            { seed, numRuns },
        );
    }, 600_000);
});
