import { describe, expect, it } from "vitest";
import { runStreamFleet, type StreamFleetOptions } from "../../../bench/gateway/streamFleet.js";

const usual: StreamFleetOptions = {
    seed: 1,
    routerCount: 30,
    streamsPerSecond: 300,
    lossShare: 0,
    endedShare: 0.1,
    noticeMs: 1_200,
    secondVersionAtMs: 1_000,
    seenWithinMs: 500,
};
/** Share of the resumed streams that must go on. */
const minContinuedShare = 0.5;

describe("streams that are resumed at once when routers have ended", () => {
    it("are all found when one router has ended while two versions are served", async () => {
        const { resumed, recorded } = await runStreamFleet({ ...usual, endedShare: 0.04 });
        expect([resumed > 20, recorded]).toEqual([true, resumed]);
    });

    // A lost record must not lead to a guess.
    it("are found or refused, and never mixed, if datagrams are lost and a third of the routers has ended", async () => {
        const { resumed, recorded, mixed } = await runStreamFleet({ ...usual, lossShare: 0.05, endedShare: 0.3 });
        expect([mixed, recorded >= minContinuedShare * resumed]).toEqual([0, true]);
    });

    // Some routers still see one version when the others begin streams at the second one.
    it("are never mixed while only some routers have seen the second version", async () => {
        const seeing = { secondVersionAtMs: 9_500, seenWithinMs: 1_500 };
        const runs = [1, 2, 3, 4].map(seed => runStreamFleet({ ...usual, ...seeing, seed }));
        expect((await Promise.all(runs)).map(({ mixed }) => mixed)).toEqual([0, 0, 0, 0]);
    });

    it("need no messages before a second version starts", async () => {
        const figures = await runStreamFleet({ ...usual, secondVersionAtMs: 20_000, endedShare: 0 });
        expect([figures.sentPerSecond, figures.mixed]).toEqual([0, 0]);
    });

    it("go on at the only version if there is no second one", async () => {
        const { resumed, sole } = await runStreamFleet({ ...usual, secondVersionAtMs: 20_000 });
        expect([resumed > 50, sole]).toEqual([true, resumed]);
    });

    // Most of the routers that are asked have ended as well and do not reply.
    it("go on at the only version if most routers have ended", async () => {
        const { resumed, sole } = await runStreamFleet({ ...usual, secondVersionAtMs: 20_000, endedShare: 0.6 });
        expect([resumed > 50, sole]).toEqual([true, resumed]);
    });
});
