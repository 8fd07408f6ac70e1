import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { decodeSignals } from "../../platform/headers.js";
import type { EngineLoad } from "../../src/gateway/wire.js";

const runs = { seed: 6, numRuns: 500 };
const now = new Date(0);

function decodeLoad(value: string | undefined): { load: EngineLoad | undefined; isInvalid: boolean } {
    const headers = value === undefined ? {} : { "x-lynxarch-engine-load": value };
    const { load, hasInvalidLoad } = decodeSignals(200, headers, now);
    return { load, isInvalid: hasInvalidLoad === true };
}

describe("an engine's report of its load", () => {
    it("is decoded with and without the fourth figure", () => {
        expect(["3,2,8", "3, 2, 8, 250", "3,2,8,62.5,extra", undefined].map(decodeLoad)).toMatchInlineSnapshot(`
          [
            {
              "isInvalid": false,
              "load": {
                "running": 3,
                "slots": 8,
                "waiting": 2,
              },
            },
            {
              "isInvalid": false,
              "load": {
                "running": 3,
                "slots": 8,
                "slowdown": 2.5,
                "waiting": 2,
              },
            },
            {
              "isInvalid": false,
              "load": {
                "running": 3,
                "slots": 8,
                "slowdown": 0.625,
                "waiting": 2,
              },
            },
            {
              "isInvalid": false,
              "load": undefined,
            },
          ]
        `);
    });

    it("has the reported slowdown within its bounds", () => {
        const count = fc.nat({ max: 10_000 });
        fc.assert(
            fc.property(
                count,
                count,
                count,
                fc.integer({ min: 10, max: 2_000 }),
                (running, waiting, slots, percent) => {
                    expect(decodeLoad([running, waiting, slots, percent].join(","))).toEqual({
                        load: { running, waiting, slots, slowdown: percent / 100 },
                        isInvalid: false,
                    });
                },
            ),
            runs,
        );
    });

    // An absurd figure would make an engine receive all prompts, or none.
    it("counts as absent where it is malformed or absurd", () => {
        const values = ["", ",,,", "1,2", "1,2,x,100", "-1,2,3,100", "1,2,3,", "1,2,3,-100", "1,2,3,0", "1,2,3,9.9"];
        const absurd = ["1,2,3,2001", "1,2,3,1e2", "1,2,3,NaN", "1,2,3,Infinity", "1,2,3,99999999999999", "1;2;3;100"];
        const decoded = [...values, ...absurd].map(decodeLoad);
        expect(decoded.map(({ load, isInvalid }) => [load?.slowdown, isInvalid])).toEqual(
            decoded.map(() => [undefined, true]),
        );
    });

    it("never throws, and never has an absurd slowdown", () => {
        const figures = fc.array(fc.oneof(fc.string(), fc.double().map(String), fc.integer().map(String)), {
            maxLength: 6,
        });
        fc.assert(
            fc.property(figures, entries => {
                const slowdown = decodeLoad(entries.join(",")).load?.slowdown ?? 1;
                expect(slowdown >= 0.1 && slowdown <= 20).toBe(true);
            }),
            runs,
        );
    });
});
