import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { SimulatedCondition } from "../../fakes/usersPlatform/simulatedStore.js";
import { TargetRecordsFixture } from "./targetRecordsFixture.js";

const fixture = { current: new TargetRecordsFixture() };
const undisturbedMs = 10_000;
/** A record expires after three missed heartbeats; milliseconds. */
const expiryMs = 3_600;
const stallMs = 1_000;
/** Between one and two read periods, so that a read of the targets starts within this time; milliseconds. */
const maxPeriodMs = 1_050;
/** Offsets at which a target leaves within one read period, in milliseconds; the worst case is directly after a read. */
const offsetsMs = [0, 1, 5, 10, 50, 250, 500, 750, 990];

beforeEach(async () => {
    fixture.current.dispose();
    fixture.current = new TargetRecordsFixture();
    fixture.current.start();
    await fixture.current.advance(undisturbedMs);
});

afterEach(() => fixture.current.dispose());

/** Maximum time that a target stays open after it left, over all of the offsets at which it may leave. */
async function measureMaxOpenMs(leave: (id: string) => Promise<void>, offsets = offsetsMs): Promise<number> {
    let maxOpenMs = 0;
    for (const [index, offsetMs] of offsets.entries()) {
        const id = `target-${index + 1}`;
        fixture.current.writeRecord(id);
        await fixture.current.advance(undisturbedMs);
        await fixture.current.advanceToRead(offsetMs);
        expect(fixture.current.isOpen(id)).toBe(true);
        const startedAtMs = fixture.current.nowMs;
        await leave(id);
        const spentMs = fixture.current.nowMs - startedAtMs;
        maxOpenMs = Math.max(maxOpenMs, spentMs + (await fixture.current.measureOpenMs(id)));
    }
    return maxOpenMs;
}

async function setFor(condition: SimulatedCondition, forMs: number): Promise<void> {
    fixture.current.store.condition = condition;
    await fixture.current.advance(forMs);
    fixture.current.store.condition = "up";
}

describe("a target whose record is removed receives nothing once the time limit on draining is over", () => {
    it("in undisturbed operation", async () => {
        const maxOpenMs = await measureMaxOpenMs(id => Promise.resolve(fixture.current.removeRecord(id)));
        expect(maxOpenMs).toBeLessThanOrEqual(fixture.current.drainMs);
    });

    // A throttled call is no evidence that records may have expired.
    it("although a call was throttled just before", async () => {
        const maxOpenMs = await measureMaxOpenMs(async id => {
            await setFor("throttling", 1_000);
            fixture.current.removeRecord(id);
        });
        expect(maxOpenMs - 1_000).toBeLessThanOrEqual(fixture.current.drainMs);
    });

    // A hanging call is detected seconds after the store has recovered; a removal after that would be treated as an expiry.
    it.each(["silent", "refusing", "resetting"] as const)(
        "although the store was %s until it counted as stable again",
        checkReturn,
    );

    async function checkReturn(condition: SimulatedCondition): Promise<void> {
        for (const outageMs of [300, 1_000, 2_500, 4_000]) {
            const maxOpenMs = await measureMaxOpenMs(async id => {
                await setFor(condition, outageMs);
                await fixture.current.advance(fixture.current.contactMs);
                fixture.current.removeRecord(id);
            });
            expect(maxOpenMs - outageMs - fixture.current.contactMs).toBeLessThanOrEqual(fixture.current.drainMs);
        }
    }
});

describe.each(["removed", "draining"] as const)("a leaving target whose record is %s", how => {
    function writeLeaving(id: string): void {
        if (how === "removed") {
            fixture.current.removeRecord(id);
        } else {
            fixture.current.writeRecord(id, "draining");
        }
    }

    // After the error that history was dropped, all keys are read again; a pause between the two reads would delay the change.
    it("receives nothing once the time limit is over although history was dropped before it was read", async () => {
        const maxOpenMs = await measureMaxOpenMs(id => {
            writeLeaving(id);
            fixture.current.removeHistory();
            return Promise.resolve();
        });
        expect(maxOpenMs).toBeLessThanOrEqual(fixture.current.drainMs);
    });

    // The wait for the next read, the lost call and the pause before the repeated read add up.
    it("receives nothing once the time limit is over although the response of the next read is lost", async () => {
        const maxOpenMs = await measureMaxOpenMs(async id => {
            writeLeaving(id);
            await setFor("losing", maxPeriodMs);
        });
        expect(maxOpenMs).toBeLessThanOrEqual(fixture.current.drainMs);
    });

    // Reads wait while nothing else is written; a waiting read that the store doesn't complete must time out early enough.
    it("receives nothing once the time limit is over although a waiting read is not completed", async () => {
        fixture.current.stopHeartbeats();
        const maxOpenMs = await measureMaxOpenMs(
            async id => {
                writeLeaving(id);
                await setFor("stalled", stallMs);
            },
            [...offsetsMs, 1_003, 1_010, 1_050, 1_090],
        );
        expect(maxOpenMs).toBeLessThanOrEqual(fixture.current.drainMs);
    });
});

describe("an order of the operators", () => {
    const limitMs = 2_000;

    // The read that waits for the order is not completed. If that is detected late, a configuration would not be in force in time.
    it("is in force in time although one read hangs", async () => {
        const { current } = fixture;
        for (const offsetMs of offsetsMs) {
            await current.advance(undisturbedMs + offsetMs);
            const writtenAtMs = current.nowMs;
            current.writeOrder();
            await setFor("stalled", stallMs);
            await current.advance(undisturbedMs);
            expect((current.evacuatedAtMs ?? Number.POSITIVE_INFINITY) - writtenAtMs).toBeLessThanOrEqual(limitMs);
        }
    });
});

describe("a target that left before the store was restored from an older copy", () => {
    // The copy contains the target's record as ready until the record expires. Treated as a new target, it would receive requests again.
    it("receives no more requests", async () => {
        const { current } = fixture;
        current.writeRecord("target-1");
        await current.advance(undisturbedMs);
        const copy = current.takeCopy();
        current.removeRecord("target-1");
        await current.advance(undisturbedMs);
        current.resumeFromCopy(copy);
        setTimeout(() => current.removeRecord("target-1"), expiryMs);
        expect(await current.measureOpenMs("target-1")).toBe(0);
    });

    it("receives requests if it is running and its record stays", async () => {
        const { current } = fixture;
        current.writeRecord("target-1");
        await current.advance(undisturbedMs);
        const copy = current.takeCopy();
        current.removeRecord("target-1");
        await current.advance(undisturbedMs);
        current.resumeFromCopy(copy);
        await current.advance(undisturbedMs);
        expect(current.isOpen("target-1")).toBe(true);
    });
});
