import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { hashText } from "../../src/base/hash.js";
import { sendCall, sendUntilRun } from "../fakes/callers.js";
import { Fleet } from "../fakes/fleet.js";
import { countRunsByKey } from "../fakes/targetRuns.js";

const fleet = new Fleet({ dataCentres: 2, targetsPerDataCentre: 2, routers: 2, daemonFile: "src/daemon/main.ts" });
const keys = [...Array(8).keys()].map(index => `seat-${hashText(String(index)).slice(0, 8)}`);
let offset = 0;

async function setDataCentre(name: string, state: "in" | "out"): Promise<void> {
    const patch = [{ op: "replace", path: `/dataCentres/${name}/state`, value: state }];
    offset = await fleet.applyChange(`${name}-${state}-${offset}`, offset, patch);
    await fleet.waitForOffset(offset);
}

const getUrl = (index: number): string => fleet.getRouter(index).callersUrl ?? "";

beforeAll(async () => {
    await fleet.start();
    offset = (await fleet.fetchDocument(fleet.getRouter(0)))?.offset ?? 0;
    // Until the homes take keys of the callers' own, so that what follows is about the data centre alone.
    await Promise.all(keys.map(key => sendUntilRun(getUrl(0), "club", `warm-${key}`)));
}, 60_000);

afterAll(async () => await fleet.close());

describe("a data centre that is taken out", () => {
    // Operators take a data centre out in the morning. Half of the callers' own keys have their home there, and before the
    // homes handed keys over all these calls were refused for as long as it was out. Now they run in the other
    // data centre, once, and a repeat gets the same answer: while it is out, and after it has come back.
    it("does not keep a call from running once, whatever home its key has", { timeout: 60_000 }, async () => {
        await setDataCentre("dc-1", "out");
        const first = await Promise.all(keys.map(key => sendUntilRun(getUrl(0), "club", key)));
        const repeated = await Promise.all(keys.map(key => sendCall(getUrl(1), "club", key)));
        await setDataCentre("dc-1", "in");
        const afterwards = await Promise.all(keys.map(key => sendCall(getUrl(0), "club", key)));
        const counts = await countRunsByKey(fleet);
        expect(first.map(outcome => [outcome.status, outcome.body.target])).toEqual(keys.map(() => [200, "t2-2"]));
        expect(repeated.map(outcome => outcome.text)).toEqual(first.map(outcome => outcome.text));
        expect(afterwards.map(outcome => outcome.text)).toEqual(first.map(outcome => outcome.text));
        expect(keys.map(key => counts.get(key))).toEqual(keys.map(() => 1));
    });
});
