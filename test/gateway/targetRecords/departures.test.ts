import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { SimulatedCondition } from "../../fakes/usersPlatform/simulatedStore.js";
import { TargetRecordsFixture } from "./targetRecordsFixture.js";

const scene = { current: new TargetRecordsFixture() };
const calmMs = 10_000;
/** Three heartbeats of silence. */
const lapseMs = 3_600;
const stallMs = 1_000;
/** Less than two periods, so that one read of the targets begins in it. */
const longestPeriodMs = 1_050;
/** Offsets at which a target leaves, over one period of reads: right behind a read is the worst. */
const offsetsMs = [0, 1, 5, 10, 50, 250, 500, 750, 990];

beforeEach(async () => {
    scene.current.dispose();
    scene.current = new TargetRecordsFixture();
    scene.current.start();
    await scene.current.advance(calmMs);
});

afterEach(() => scene.current.dispose());

/** The longest time that a target stays open after it left, when it leaves at each of the offsets. */
async function measureWorst(leave: (id: string) => Promise<void>, offsets = offsetsMs): Promise<number> {
    let worstMs = 0;
    for (const [index, offsetMs] of offsets.entries()) {
        const id = `target-${index + 1}`;
        scene.current.writeRecord(id);
        await scene.current.advance(calmMs);
        await scene.current.advanceToRead(offsetMs);
        expect(scene.current.isOpen(id)).toBe(true);
        const startedAtMs = scene.current.nowMs;
        await leave(id);
        const spentMs = scene.current.nowMs - startedAtMs;
        worstMs = Math.max(worstMs, spentMs + (await scene.current.measureOpenMs(id)));
    }
    return worstMs;
}

async function setFor(condition: SimulatedCondition, forMs: number): Promise<void> {
    scene.current.store.condition = condition;
    await scene.current.advance(forMs);
    scene.current.store.condition = "up";
}

describe("a target whose record is removed gets nothing once the bound on draining is over", () => {
    it("on a calm day", async () => {
        const worstMs = await measureWorst(id => Promise.resolve(scene.current.removeRecord(id)));
        expect(worstMs).toBeLessThanOrEqual(scene.current.drainMs);
    });

    // A call that was turned away for its rate says nothing of records that lapse.
    it("though a call was throttled just before", async () => {
        const worstMs = await measureWorst(async id => {
            await setFor("throttling", 1_000);
            scene.current.removeRecord(id);
        });
        expect(worstMs - 1_000).toBeLessThanOrEqual(scene.current.drainMs);
    });

    // A call that hangs is noticed seconds after the store is back, and the removal would count as a lapse from then on.
    it.each(["silent", "refusing", "resetting"] as const)(
        "though the store was %s until it counted as stable again",
        checkReturn,
    );

    async function checkReturn(condition: SimulatedCondition): Promise<void> {
        for (const awayMs of [300, 1_000, 2_500, 4_000]) {
            const worstMs = await measureWorst(async id => {
                await setFor(condition, awayMs);
                await scene.current.advance(scene.current.contactMs);
                scene.current.removeRecord(id);
            });
            expect(worstMs - awayMs - scene.current.contactMs).toBeLessThanOrEqual(scene.current.drainMs);
        }
    }
});

describe.each(["removed", "draining"] as const)("a target whose leaving is %s", how => {
    function writeLeaving(id: string): void {
        if (how === "removed") {
            scene.current.removeRecord(id);
        } else {
            scene.current.writeRecord(id, "draining");
        }
    }

    // The answer that history is gone is followed by another read; a rest between the two makes the change late.
    it("gets nothing once the bound is over though history was dropped before it was read", async () => {
        const worstMs = await measureWorst(id => {
            writeLeaving(id);
            scene.current.removeHistory();
            return Promise.resolve();
        });
        expect(worstMs).toBeLessThanOrEqual(scene.current.drainMs);
    });

    // Rest, lost call and pause add up.
    it("gets nothing once the bound is over though the answer of the next read is lost", async () => {
        const worstMs = await measureWorst(async id => {
            writeLeaving(id);
            await setFor("losing", longestPeriodMs);
        });
        expect(worstMs).toBeLessThanOrEqual(scene.current.drainMs);
    });

    // While nothing else is written reads wait; one that is not woken must be given up in time.
    it("gets nothing once the bound is over though a read that waits is not woken", async () => {
        scene.current.stopHeartbeats();
        const worstMs = await measureWorst(
            async id => {
                writeLeaving(id);
                await setFor("stalled", stallMs);
            },
            [...offsetsMs, 1_003, 1_010, 1_050, 1_090],
        );
        expect(worstMs).toBeLessThanOrEqual(scene.current.drainMs);
    });
});

describe("an order of the operators", () => {
    const boundMs = 2_000;

    // The read that waits for it is not woken; noticed late, a configuration would not be in force in its time.
    it("is in force in time though one read hangs", async () => {
        const { current } = scene;
        for (const offsetMs of offsetsMs) {
            await current.advance(calmMs + offsetMs);
            const writtenAtMs = current.nowMs;
            current.writeOrder();
            await setFor("stalled", stallMs);
            await current.advance(calmMs);
            expect((current.evacuatedAtMs ?? Number.POSITIVE_INFINITY) - writtenAtMs).toBeLessThanOrEqual(boundMs);
        }
    });
});

describe("a target that left before the store came back from an older copy", () => {
    // The copy still has its record as ready, until it lapses there: taken for a new target, it would get requests again.
    it("gets nothing more", async () => {
        const { current } = scene;
        current.writeRecord("target-1");
        await current.advance(calmMs);
        const copy = current.takeCopy();
        current.removeRecord("target-1");
        await current.advance(calmMs);
        current.resumeFromCopy(copy);
        setTimeout(() => current.removeRecord("target-1"), lapseMs);
        expect(await current.measureOpenMs("target-1")).toBe(0);
    });

    it("gets requests where it is alive and its record stays", async () => {
        const { current } = scene;
        current.writeRecord("target-1");
        await current.advance(calmMs);
        const copy = current.takeCopy();
        current.removeRecord("target-1");
        await current.advance(calmMs);
        current.resumeFromCopy(copy);
        await current.advance(calmMs);
        expect(current.isOpen("target-1")).toBe(true);
    });
});
