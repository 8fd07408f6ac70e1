import { describe, expect, it } from "vitest";
import { SeededRandom } from "../../src/base/random.js";
import { orderByRendezvous } from "../../src/base/hash.js";

describe("SeededRandom", () => {
    it("gives the same sequence for the same seed", () => {
        const first = new SeededRandom(7);
        const second = new SeededRandom(7);
        const draw = (random: SeededRandom): number[] => Array.from({ length: 5 }, () => random.next());
        expect(draw(first)).toEqual(draw(second));
    });
});

describe("orderByRendezvous", () => {
    it("moves only the keys of a member that leaves", () => {
        const members = ["a", "b", "c", "d"];
        const getName = (name: string): string => name;
        for (let key = 0; key < 50; key++) {
            const before = orderByRendezvous(`key-${key}`, members, getName);
            const after = orderByRendezvous(
                `key-${key}`,
                members.filter(name => name !== "d"),
                getName,
            );
            expect(after).toEqual(before.filter(name => name !== "d"));
        }
    });
});
