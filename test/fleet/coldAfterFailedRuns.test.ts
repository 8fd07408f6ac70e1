import { expect, it } from "vitest";
import type { AgentEffect } from "../../src/fleet/agentMessages.js";
import { createRequest, createWarmAgent } from "./agentFixtures.js";

const listStarts = (effects: readonly AgentEffect[]): readonly string[] =>
    effects.flatMap(effect => (effect.type === "startWork" ? [effect.requestId] : []));

// An engine turns cold without warning and loses its runs: their answers break off one after the other. Its load report
// still tells of the time before. An agent that fills each freed slot gives the cold engine a full load, and it falls over
// again; callers see their answers break off a second time.
it("gives a target whose runs break off no more than its cold limit", () => {
    const agent = createWarmAgent({ maxConcurrent: 8, coldLimit: 2 });
    const running = [..."abcdefghijklmnop"].flatMap(id => {
        const request = createRequest(id, { arrivedAtMs: 5_000 });
        return listStarts(agent.handle({ type: "workOffered", request, routerId: "r1" }, 5_000));
    });
    // Each first output lets the window grow by one until the target is full.
    for (const requestId of running) {
        running.push(...listStarts(agent.handle({ type: "firstOutput", requestId }, 5_050)));
    }
    expect(running.length).toBe(8);
    const startedAnew = running.flatMap((requestId, index) => {
        const counts = { promptTokens: 100, generatedTokens: 10 };
        return listStarts(agent.handle({ type: "runEnded", requestId, outcome: "failed", ...counts }, 5_100 + index));
    });
    expect(startedAnew.length).toBeLessThanOrEqual(2);
});
