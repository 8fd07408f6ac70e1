import { expect, it } from "vitest";
import type { AgentEffect } from "../../src/fleet/agentMessages.js";
import { createRequest, createWarmAgent } from "./agentFixtures.js";

const listStarts = (effects: readonly AgentEffect[]): readonly string[] =>
    effects.flatMap(effect => (effect.type === "startWork" ? [effect.requestId] : []));
const noCounts = { promptTokens: 0, generatedTokens: 0 };

// A full target turns a request away and names a time; an agent that fills the freed slot has each of its queue turned away.
it("starts nothing at a target that wants no requests, then one, then more with its answers", () => {
    const agent = createWarmAgent({ maxConcurrent: 8, coldLimit: 4 });
    const offer = (id: string): readonly string[] => {
        const request = createRequest(id, { arrivedAtMs: 5_000 });
        return listStarts(agent.handle({ type: "workOffered", request, routerId: "r1" }, 5_000));
    };
    const [first] = offer("a");
    const turnedAway = { type: "runEnded", requestId: first, outcome: "refused-by-target", ...noCounts } as const;
    agent.handle({ ...turnedAway, pauseMs: 2_000 }, 5_010);
    const duringPause = [..."bcdef"].flatMap(offer);
    const wakeAtMs = agent.nextTickAtMs();
    const atEnd = listStarts(agent.tick(7_010));
    const answered = { type: "runEnded", requestId: atEnd[0], outcome: "completed", ...noCounts } as const;
    const afterAnswer = listStarts(agent.handle(answered, 7_100));
    expect({ duringPause, wakeAtMs, atEnd, afterAnswer }).toMatchInlineSnapshot(`
      {
        "afterAnswer": [
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
