import { expect, it } from "vitest";
import type { AgentEffect } from "../../src/fleet/agentMessages.js";
import { createRequest, createWarmAgent } from "./agentFixtures.js";

const listStarts = (effects: readonly AgentEffect[]): readonly string[] =>
    effects.flatMap(effect => (effect.type === "startWork" ? [effect.requestId] : []));

// An engine turns cold without warning and loses its runs: their responses fail one after the other, while its load
// report still shows the state before. An agent that fills each freed slot puts full load on the cold engine, which
// fails again, and callers lose a second response.
it("starts no more than the cold limit at a target whose runs fail", () => {
    const agent = createWarmAgent({ maxConcurrent: 8, coldLimit: 2 });
    const running = [..."abcdefghijklmnop"].flatMap(id => {
        const request = createRequest(id, { arrivedAtMs: 5_000 });
        return listStarts(agent.handle({ type: "workOffered", request, routerId: "r1" }, 5_000));
    });
    // Each first output increases the window by one until it reaches the maximum concurrency.
    for (const requestId of running) {
        running.push(...listStarts(agent.handle({ type: "firstOutput", requestId }, 5_050)));
    }
    expect(running.length).toBe(8);
    const startedAfterFailure = running.flatMap((requestId, index) => {
        const counts = { promptTokens: 100, generatedTokens: 10 };
        return listStarts(agent.handle({ type: "runEnded", requestId, outcome: "failed", ...counts }, 5_100 + index));
    });
    expect(startedAfterFailure.length).toBeLessThanOrEqual(2);
});
