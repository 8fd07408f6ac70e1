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
});
