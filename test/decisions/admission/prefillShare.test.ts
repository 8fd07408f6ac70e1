import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import { PrefillShare } from "../../../src/decisions/admission/prefillShare.js";

/** Lets streams begin at engines whose share is in use; a stream is late the more often the further it lies above `bearable`. */
function runStreams(share: PrefillShare, bearable: number, count: number): number {
    const random = new SeededRandom(1);
    for (let index = 0; index < count; index++) {
        const lateChance = share.current <= bearable ? 0.01 : Math.min(1, (share.current - bearable) * 2);
        share.observe(random.next() < lateChance, share.current);
    }
    return Number(share.current.toFixed(1));
}

describe("the share of its time that an engine may read", () => {
    it.each([0.4, 0.9])("settles near what streams bear, %s", bearable => {
        expect(Math.abs(runStreams(new PrefillShare(), bearable, 4_000) - bearable)).toBeLessThanOrEqual(0.1);
    });

    // A quiet night of streams that nothing disturbs would otherwise let the next flood in without a limit.
    it("stays as it is while engines are idle", () => {
        const share = new PrefillShare();
        const before = share.current;
        for (let index = 0; index < 1_000; index++) {
            share.observe(false, 0.1);
        }
        expect(share.current).toBe(before);
    });
});
