import { describe, expect, it } from "vitest";
import { measureFloods, printFloodFigures } from "../../bench/gateway/floodReport.js";
import { floodScenarios } from "../../bench/gateway/floods.js";

const short = { ...floodScenarios[0], fleet: { ...floodScenarios[0].fleet, runMs: 8_000 } };

describe("the floods of the benchmark", () => {
    it("are told with each kind of news made exact, the same for the same seeds", () => {
        const lines = measureFloods(short, 2).map(printFloodFigures);
        expect(lines.map(line => line.slice(0, 50).trim())).toMatchInlineSnapshot(`
          [
            "three-floods                exact news: none",
            "three-floods                exact news: accounts",
            "three-floods                exact news: load",
            "three-floods                exact news: both",
          ]
        `);
        expect(measureFloods(short, 2).map(printFloodFigures)).toEqual(lines);
    });

    it("have names of their own", () => {
        expect(new Set(floodScenarios.map(({ name }) => name)).size).toBe(floodScenarios.length);
    });
});
