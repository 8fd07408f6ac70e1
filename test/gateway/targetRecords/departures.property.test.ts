import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { SimulatedCondition } from "../../fakes/usersPlatform/simulatedStore.js";
import { TargetRecordsFixture } from "./targetRecordsFixture.js";

const seed = 43;
/** For longer manual runs: DEPARTURE_RUNS=2000 npx vitest run test/gateway/targetRecords. */
const numRuns = Number(process.env.DEPARTURE_RUNS ?? 40);
const targets = 6;
const durationMs = 24_000;
const tickMs = 20;
const startMs = 4_000;
/** Minimum time between disturbances; a router without responses from the store for longer can't detect that a target is leaving. */
const minGapMs = 2_500;

const impairments = ["silent", "refusing", "resetting"] as const;

interface Disturbance {
    readonly kind: SimulatedCondition;
    readonly gapMs: number;
    readonly forMs: number;
}

interface Departure {
    readonly atMs: number;
    readonly how: "removed" | "draining";
    /** Whether the store's history is dropped at that moment. */
    readonly dropsHistory: boolean;
}

interface Plan {
    readonly disturbances: readonly Disturbance[];
    readonly departures: readonly Departure[];
    readonly bounds: { readonly drainMs: number; readonly contactMs: number };
    readonly seed: number;
}

const gapMs = fc.integer({ min: minGapMs, max: 8_000 });
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
            atMs: fc.integer({ min: startMs, max: durationMs - 5_000 }),
            how: fc.constantFrom("removed" as const, "draining" as const),
            dropsHistory: fc.boolean(),
        }),
        { minLength: 1, maxLength: targets },
    ),
    bounds: fc.constantFrom({ drainMs: 2_000, contactMs: 3_000 }, { drainMs: 3_000, contactMs: 4_000 }),
    seed: fc.integer({ min: 1, max: 1_000 }),
});

/** Conditions of the store over time, and whether the time limits apply. */
class StoreSchedule {
    private readonly intervals: readonly {
        readonly kind: SimulatedCondition;
        readonly from: number;
        readonly to: number;
    }[];

    public constructor(disturbances: readonly Disturbance[]) {
        let atMs = startMs;
        this.intervals = disturbances.map(({ kind, gapMs, forMs }) => {
            const from = atMs + gapMs;
            atMs = from + forMs;
            return { kind, from, to: atMs };
        });
    }

    public findCondition(nowMs: number): SimulatedCondition {
        return this.intervals.find(({ from, to }) => nowMs >= from && nowMs < to)?.kind ?? "up";
    }

    /** Whether the store has been unimpaired for the time after which routers must comply with its acknowledgements. */
    public isStable(nowMs: number, contactMs: number): boolean {
        return !this.intervals.some(({ kind, from, to }) => {
            return impairments.some(other => other === kind) && from <= nowMs && to > nowMs - contactMs;
        });
    }
}

/** Targets that could receive requests after the time limit on draining, with the times. */
async function listBreaches({ disturbances, departures, bounds, seed: random }: Plan): Promise<readonly string[]> {
    const { drainMs, contactMs } = bounds;
    const fixture = new TargetRecordsFixture(drainMs, contactMs, random);
    const schedule = new StoreSchedule(disturbances);
    const breaches = new Set<string>();
    departures.forEach((...[, index]) => fixture.writeRecord(`target-${index + 1}`));
    fixture.start();
    for (let nowMs = 0; nowMs < durationMs; nowMs += tickMs) {
        fixture.store.condition = schedule.findCondition(nowMs);
        for (const [index, { atMs, how, dropsHistory }] of departures.entries()) {
            const id = `target-${index + 1}`;
            if (atMs >= nowMs && atMs < nowMs + tickMs) {
                writeLeaving(fixture, id, how, dropsHistory);
            }
            const isLimitOver = nowMs > atMs + tickMs + drainMs && schedule.isStable(atMs, contactMs);
            if (isLimitOver && schedule.isStable(nowMs, contactMs) && fixture.isOpen(id)) {
                breaches.add(`${id} ${how} at ${atMs}, open at ${nowMs}`);
            }
        }
        await fixture.advance(tickMs);
    }
    fixture.dispose();
    return [...breaches];
}

function writeLeaving(fixture: TargetRecordsFixture, id: string, how: Departure["how"], dropsHistory: boolean): void {
    if (how === "removed") {
        fixture.removeRecord(id);
    } else {
        fixture.writeRecord(id, "draining");
    }
    if (dropsHistory) {
        fixture.removeHistory();
    }
}

describe("targets that leave while the store is unresponsive, refuses, resets, throttles, loses responses, stalls or drops history", () => {
    // In any order of events, a request that reaches a target after the time limit breaks the guarantee to the target's operators.
    it("receive nothing once the time limit on draining is over", async () => {
        await fc.assert(
            fc.asyncProperty(plan, async sequence => {
                expect(await listBreaches(sequence)).toEqual([]);
            }),
            { seed, numRuns },
        );
    }, 600_000);
});
