import { expect, it } from "vitest";
import type { AgentEffect } from "../../src/fleet/agentMessages.js";
import { createRequest, createWarmAgent } from "./agentFixtures.js";

const listStarts = (effects: readonly AgentEffect[]): readonly string[] =>
    effects.flatMap(effect => (effect.type === "startWork" ? [effect.requestId] : []));
const zeroCounts = { promptTokens: 0, generatedTokens: 0 };

// A full target refuses a request and names a pause. An agent that fills the freed slot before the pause has ended has
// each of its queued requests refused.
it("starts nothing at a target during its pause, then one request, then more with each response", () => {
    const agent = createWarmAgent({ maxConcurrent: 8, coldLimit: 4 });
    const offer = (id: string): readonly string[] => {
        const request = createRequest(id, { arrivedAtMs: 5_000 });
        return listStarts(agent.handle({ type: "workOffered", request, routerId: "r1" }, 5_000));
    };
    const [first] = offer("a");
    const refused = { type: "runEnded", requestId: first, outcome: "refused-by-target", ...zeroCounts } as const;
    agent.handle({ ...refused, pauseMs: 2_000 }, 5_010);
    const duringPause = [..."bcdef"].flatMap(offer);
    const wakeAtMs = agent.nextTickAtMs();
    const atEnd = listStarts(agent.tick(7_010));
    const completed = { type: "runEnded", requestId: atEnd[0], outcome: "completed", ...zeroCounts } as const;
    const afterResponse = listStarts(agent.handle(completed, 7_100));
    expect({ duringPause, wakeAtMs, atEnd, afterResponse }).toMatchInlineSnapshot(`
      {
        "afterResponse": [
          "c",
          "d",
        ],
        "atEnd": [
          "b",
        ],
        "duringPause": [],
        "wakeAtMs": 7010,
      }
    `);
});
