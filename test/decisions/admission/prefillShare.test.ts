import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import { PrefillShare } from "../../../src/decisions/admission/prefillShare.js";

/** Records streams at engines whose share is fully used; a stream is the more likely late the further the share is above `tolerable`. */
function runStreams(share: PrefillShare, tolerable: number, count: number): number {
    const random = new SeededRandom(1);
    for (let index = 0; index < count; index++) {
        const lateChance = share.current <= tolerable ? 0.01 : Math.min(1, (share.current - tolerable) * 2);
        share.observe(random.next() < lateChance, share.current);
    }
    return Number(share.current.toFixed(1));
}

describe("the prefill share of an engine", () => {
    it.each([0.4, 0.9])("converges to the share that streams tolerate, %s", tolerable => {
        expect(Math.abs(runStreams(new PrefillShare(), tolerable, 4_000) - tolerable)).toBeLessThanOrEqual(0.1);
    });

    // Many undisturbed streams at low load would otherwise raise the share so far that the next overload is not limited.
    it("is unchanged while engines are idle", () => {
        const share = new PrefillShare();
        const initial = share.current;
        for (let index = 0; index < 1_000; index++) {
            share.observe(false, 0.1);
        }
        expect(share.current).toBe(initial);
    });

    // An overload of some minutes would otherwise end before a router with few streams has learnt what they tolerate.
    it("rises twice as fast once 50 streams in a row were in time, if the option is set", () => {
        const [plain, fast] = [new PrefillShare(), new PrefillShare({ risesFasterInTime: true })];
        const rises = [plain, fast].map(share => {
            const record = (count: number): number => {
                const before = share.current;
                Array.from({ length: count }, () => share.observe(false, share.current));
                return Math.log(share.current / before);
            };
            return { first: record(50), next: record(20) };
        });
        expect(rises[1].first).toBeCloseTo(rises[0].first);
        expect(rises[1].next / rises[0].next).toBeCloseTo(2);
    });

    it("falls as fast as without the option, and stops rising faster, when a stream is late", () => {
        const falls = [new PrefillShare(), new PrefillShare({ risesFasterInTime: true })].map(share => {
            Array.from({ length: 120 }, () => share.observe(false, share.current));
            const changes = [true, false].map(isLate => {
                const before = share.current;
                share.observe(isLate, share.current);
                return Math.log(share.current / before);
            });
            return changes.map(change => Number(change.toFixed(6)));
        });
        expect(falls[1]).toEqual(falls[0]);
    });

    it.each([0.4, 0.9])("converges to the share that streams tolerate with the option, %s", tolerable => {
        const share = new PrefillShare({ risesFasterInTime: true });
        expect(Math.abs(runStreams(share, tolerable, 4_000) - tolerable)).toBeLessThanOrEqual(0.1);
    });
});
