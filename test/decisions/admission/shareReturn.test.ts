import { expect, it } from "vitest";
import { SeededRandom } from "../../../src/base/random.js";
import { computeShareReturnMs } from "../../../src/decisions/admission/shareReturn.js";

function listDelays(share: number): readonly number[] {
    const random = new SeededRandom(1);
    return Array.from({ length: 400 }, () => computeShareReturnMs(share, 4_000, random)).sort((a, b) => a - b);
}

// All callers of an overloading account returned after the same delay, and their connections filled the accept queue again.
it("spreads the returns of an account beyond its share over the time until it has room again", () => {
    const [first, last] = [listDelays(2)[0], listDelays(2)[399]];
    expect({ first: Math.round(first / 50) * 50, last: Math.round(last / 50) * 50 }).toEqual({
        first: 1_500,
        last: 2_500,
    });
    expect(new Set(listDelays(2)).size).toBeGreaterThan(390);
});

it("does not delay an account within its share, and never longer than the window and its spread", () => {
    expect([listDelays(0.5)[399], listDelays(1)[399], listDelays(1_000)[399] <= 5_000]).toEqual([0, 0, true]);
});
