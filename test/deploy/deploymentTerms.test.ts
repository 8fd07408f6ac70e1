import fc from "fast-check";
import { expect, it } from "vitest";
import { applyDeploymentTerms } from "../../platform/deploymentTerms.js";

it.each([
    ["a known term", { terms: ["base", "pressure"], daemonId: "r" }, { fillsSpareCapacity: true, daemonId: "r" }],
    [
        "a term and the setting itself",
        { terms: ["pressure"], fillsSpareCapacity: false },
        { fillsSpareCapacity: false },
    ],
    ["other terms", { terms: ["base", "constructor"] }, {}],
    ["no terms", { daemonId: "r" }, { daemonId: "r" }],
    ["terms of another type", { terms: "pressure" }, { terms: "pressure" }],
])("translates settings with %s", (...[, settings, expected]) => {
    expect(JSON.parse(applyDeploymentTerms(JSON.stringify(settings)))).toEqual(expected);
});

// The check of the settings has to see what is wrong with the file.
it("returns text that is not JSON as it is", () => {
    fc.assert(
        fc.property(fc.string(), text => {
            expect(applyDeploymentTerms(`{${text}`)).toBe(`{${text}`);
        }),
    );
});
