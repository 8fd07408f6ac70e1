import { describe, expect, it } from "vitest";
import type { AgentCore } from "../../src/fleet/agent/agentCore.js";
import type { RunOutcome } from "../../src/fleet/agentMessages.js";
import type { WorkRequest } from "../../src/fleet/entities.js";
import {
    createAgent,
    createDocument,
    createRequest,
    createWarmAgent,
    formatEffects,
    ListRecorder,
} from "./agentFixtures.js";

const offer = (agent: AgentCore, id: string, nowMs: number, changes: Partial<WorkRequest> = {}): readonly string[] =>
    formatEffects(
        agent.handle(
            { type: "workOffered", request: createRequest(id, { arrivedAtMs: nowMs, ...changes }), routerId: "r1" },
            nowMs,
        ),
    );

const end = (agent: AgentCore, id: string, nowMs: number, outcome: RunOutcome = "completed"): readonly string[] =>
    formatEffects(
        agent.handle({ type: "runEnded", requestId: id, outcome, promptTokens: 100, generatedTokens: 100 }, nowMs),
    );

describe("AgentCore", () => {
    it("starts nothing before the first document, and at most the cold limit until the target is warm", () => {
        const recorder = new ListRecorder();
        const agent = createAgent(recorder);
        const early = offer(agent, "early", 0);
        agent.handle({ type: "documentAccepted", offset: 1, document: createDocument() }, 10);
        const started = ["a", "b", "c", "d"].flatMap(id => offer(agent, id, 20));
        expect({ early, started }).toMatchInlineSnapshot(`
          {
            "early": [
              "refused early draining not-run -",
            ],
            "started": [
              "start a",
              "start b",
            ],
          }
        `);
        expect(recorder.events.map(event => `${event.kind} ${event.requestId ?? ""} ${event.reason ?? ""}`))
            .toMatchInlineSnapshot(`
          [
            "request-refused early draining",
            "window-changed  limits",
            "phase-changed  serving",
            "request-queued a short",
            "request-started a short",
            "request-queued b short",
            "request-started b short",
            "request-queued c short",
            "request-queued d short",
          ]
        `);
    });

    it("gives a freed slot to the account with the least service divided by weight", () => {
        const agent = createWarmAgent({ weights: { department: 2, club: 1 }, maxConcurrent: 1, coldLimit: 1 });
        const order: string[] = [];
        const addStarts = (effects: readonly string[]): void => {
            order.push(...effects.filter(effect => effect.startsWith("start")));
        };
        for (let index = 0; index < 8; index += 1) {
            addStarts(offer(agent, `department-${index}`, 5_000));
            addStarts(offer(agent, `club-${index}`, 5_000, { clientAccount: "club" }));
        }
        for (let step = 0; step < 8; step += 1) {
            addStarts(end(agent, (order[order.length - 1] ?? "").replace("start ", ""), 5_100 + step * 100));
        }
        expect(order).toMatchInlineSnapshot(`
          [
            "start department-0",
            "start club-0",
            "start department-1",
            "start department-2",
            "start club-1",
            "start department-3",
            "start department-4",
            "start club-2",
            "start department-5",
          ]
        `);
    });

    // Guards against failed requests when a data centre is taken out of service while requests wait and run: waiting
    // requests are withdrawn at once as not started, new ones are refused, and running ones continue to their end.
    it("withdraws all waiting requests when its data centre is taken out, and serves again when it is back in", () => {
        const agent = createWarmAgent({ maxConcurrent: 1, coldLimit: 1 });
        const before = [...offer(agent, "a", 5_000), ...offer(agent, "b", 5_000)];
        const out = createDocument({ maxConcurrent: 1, coldLimit: 1, dataCentreState: "out" });
        const takenOut = formatEffects(agent.handle({ type: "documentAccepted", offset: 2, document: out }, 5_100));
        const during = [...offer(agent, "c", 5_200), ...end(agent, "a", 5_300)];
        // A late copy of the previous document must not put the data centre back into service.
        agent.handle({ type: "documentAccepted", offset: 1, document: createDocument() }, 5_400);
        const stale = offer(agent, "d", 5_400);
        agent.handle({ type: "documentAccepted", offset: 3, document: createDocument() }, 6_000);
        const after = offer(agent, "b", 6_000);
        agent.handle({ type: "leaving" }, 6_100);
        const leaving = offer(agent, "e", 6_100);
        expect({ before, takenOut, during, stale, after, leaving }).toMatchInlineSnapshot(`
          {
            "after": [
              "start b",
            ],
            "before": [
              "start a",
            ],
            "during": [
              "refused c draining not-run -",
            ],
            "leaving": [
              "refused e stopping not-run -",
            ],
            "stale": [
              "refused d draining not-run -",
            ],
            "takenOut": [
              "withdrawn b",
            ],
          }
        `);
    });

    // Guards against a request that runs twice: the router withdraws it and offers it to another agent while the first
    // offer is still in transit. That offer arrives after the withdrawal and must not start.
    it("never starts an offer that arrives after its withdrawal, and refuses to withdraw started requests", () => {
        const agent = createWarmAgent({ maxConcurrent: 1, coldLimit: 1 });
        const withdraw = (requestId: string, incarnation?: number): readonly string[] =>
            formatEffects(agent.handle({ type: "withdrawRequested", requestId, incarnation }, 5_000));
        expect({
            unseen: withdraw("late"),
            late: offer(agent, "late", 5_000),
            chosenAgain: offer(agent, "late", 5_000),
            running: withdraw("late"),
            queued: [...offer(agent, "b", 5_000), ...withdraw("b")],
            ended: [...end(agent, "late", 5_100), ...withdraw("late")],
            otherIncarnation: withdraw("unknown", 0),
        }).toMatchInlineSnapshot(`
          {
            "chosenAgain": [
              "start late",
            ],
            "ended": [
              "kept late",
            ],
            "late": [
              "refused late duplicate not-run -",
            ],
            "otherIncarnation": [
              "kept unknown",
            ],
            "queued": [
              "withdrawn b",
            ],
            "running": [
              "kept late",
            ],
            "unseen": [
              "withdrawn late",
            ],
          }
        `);
    });

    // Guards against a started request reported as not run: the agent starts more requests than it keeps ids of, so it
    // must not confirm the withdrawal of a request whose id may have been evicted.
    it("does not confirm the withdrawal of an unknown request while ids may have been evicted", () => {
        const agent = createAgent(new ListRecorder(), 1, { maxStartedIds: 16 });
        agent.handle({ type: "documentAccepted", offset: 1, document: createDocument() }, 0);
        const withdrawEffects: string[] = [];
        for (let index = 0; index < 40; index += 1) {
            offer(agent, `r${index}`, index);
            end(agent, `r${index}`, index);
            const [withdrawEffect = ""] = formatEffects(
                agent.handle({ type: "withdrawRequested", requestId: "r0" }, index),
            );
            withdrawEffects.push(withdrawEffect);
        }
        const hourLater = formatEffects(agent.handle({ type: "withdrawRequested", requestId: "new" }, 3_700_000));
        expect([new Set(withdrawEffects), hourLater]).toEqual([new Set(["kept r0"]), ["withdrawn new"]]);
    });

    it("cancels a run whose caller disconnected, unless it is non-idempotent and has a key", () => {
        const agent = createWarmAgent();
        const cancel = (requestId: string): readonly string[] =>
            formatEffects(agent.handle({ type: "workCancelled", requestId }, 5_000));
        offer(agent, "plan", 5_000);
        offer(agent, "booking", 5_000, { service: "bookings", idempotent: false, idempotencyKey: "k1" });
        expect([...cancel("plan"), ...cancel("plan"), ...cancel("booking")]).toMatchInlineSnapshot(`
          [
            "cancel plan",
          ]
        `);
    });

    it("refuses a request that waits until its deadline, and needs no tick before", () => {
        const agent = createWarmAgent({ maxConcurrent: 1, coldLimit: 1 });
        offer(agent, "a", 5_000);
        offer(agent, "b", 5_000, { deadlineAtMs: 7_000 });
        expect([agent.nextTickAtMs(), formatEffects(agent.tick(6_999)), formatEffects(agent.tick(7_000))])
            .toMatchInlineSnapshot(`
              [
                7000,
                [],
                [
                  "refused b deadline not-run 200",
                ],
              ]
            `);
        expect(agent.nextTickAtMs()).toBeUndefined();
    });

    it("charges the estimate at the start, further cost during streaming, and corrects the charge at the end", () => {
        const agent = createWarmAgent({ weights: { department: 2 } });
        const charged = (): unknown => agent.createReport(undefined).counters[0];
        offer(agent, "a", 5_000);
        const atStart = charged();
        agent.handle({ type: "progressed", requestId: "a", tokens: 150 }, 5_100);
        const streaming = charged();
        end(agent, "a", 5_200);
        expect({ atStart, streaming, atEnd: charged() }).toMatchInlineSnapshot(`
          {
            "atEnd": {
              "charged": 350,
              "clientAccount": "department",
              "lift": 0,
              "refunded": 100,
              "service": "planner",
            },
            "atStart": {
              "charged": 250,
              "clientAccount": "department",
              "lift": 0,
              "refunded": 0,
              "service": "planner",
            },
            "streaming": {
              "charged": 350,
              "clientAccount": "department",
              "lift": 0,
              "refunded": 0,
              "service": "planner",
            },
          }
        `);
        const acknowledged = agent.createReport(undefined).sequence;
        expect(agent.createReport(acknowledged).counters).toEqual([]);
    });

    // Guards against lost charges after a restart: a router has acknowledged many reports of the agent's earlier
    // incarnation. The new incarnation charges before the first exchange and must not take that sequence number for one
    // of its own.
    it("reports all counters to a router that has acknowledged only an earlier incarnation", () => {
        const earlierAgent = createWarmAgent();
        const acknowledged = Array.from({ length: 20 }, () => earlierAgent.createReport(undefined).sequence).pop();
        const agent = createAgent(new ListRecorder(), 1_000_000);
        agent.handle({ type: "documentAccepted", offset: 1, document: createDocument() }, 0);
        offer(agent, "a", 10);
        const issued = Array.from({ length: 30 }, () => agent.createBriefReport().sequence).pop();
        const counterCounts = [acknowledged, issued, Number.MAX_SAFE_INTEGER].map(
            sequence => agent.createReport(sequence).counters.length,
        );
        expect(counterCounts).toEqual([1, 0, 1]);
    });
});
