import fc from "fast-check";
import { describe, it } from "vitest";
import { catchUpWindowMs } from "../../src/decisions/shares/catchUpCap.js";
import { idleAfterMs } from "../../src/decisions/shares/serviceLedger.js";
import { shortReserveExpiryMs } from "../../src/decisions/admission/shortReserve.js";
import type { AgentCore } from "../../src/fleet/agent/agentCore.js";
import type { AgentEffect, AgentMessage, RunOutcome } from "../../src/fleet/agentMessages.js";
import { createAgent, createDocument, createRequest, ListRecorder } from "./agentFixtures.js";

const accounts = ["department", "middle", "club"] as const;
const limits = { maxConcurrent: 6, coldLimit: 2 };

type Command =
    | {
          readonly type: "offer";
          readonly account: number;
          readonly long: boolean;
          readonly plain: boolean;
          readonly remainingMs: number;
      }
    | { readonly type: "withdraw" | "cancel" | "firstOutput" | "reoffer"; readonly pick: number }
    | { readonly type: "end"; readonly pick: number; readonly outcome: RunOutcome; readonly tokens: number }
    | { readonly type: "progress"; readonly pick: number; readonly tokens: number }
    | { readonly type: "report"; readonly cold: boolean }
    | { readonly type: "overtake"; readonly by: "withdrawRequested" | "workCancelled"; readonly waitMs: number }
    | { readonly type: "targetLost" | "leave" }
    | { readonly type: "claims"; readonly account: number; readonly charged: number; readonly refunded: number }
    | { readonly type: "phase"; readonly dataCentreState: "in" | "out"; readonly targetState: "serving" | "draining" }
    | { readonly type: "advance"; readonly ms: number };

const pick = fc.nat(200);
const account = fc.nat(accounts.length - 1);
const outcome = fc.constantFrom<RunOutcome>("completed", "completed", "failed", "cancelled", "refused-by-target");
const command: fc.Arbitrary<Command> = fc.oneof(
    {
        weight: 12,
        arbitrary: fc.record({
            type: fc.constant("offer" as const),
            account,
            long: fc.boolean(),
            plain: fc.boolean(),
            remainingMs: fc.integer({ min: 1, max: 30_000 }),
        }),
    },
    { weight: 8, arbitrary: fc.record({ type: fc.constant("end" as const), pick, outcome, tokens: fc.nat(3_000) }) },
    { weight: 4, arbitrary: fc.record({ type: fc.constant("firstOutput" as const), pick }) },
    {
        weight: 4,
        arbitrary: fc.record({
            type: fc.constantFrom("withdraw" as const, "cancel" as const, "reoffer" as const),
            pick,
        }),
    },
    { weight: 2, arbitrary: fc.record({ type: fc.constant("progress" as const), pick, tokens: fc.nat(2_000) }) },
    { weight: 4, arbitrary: fc.record({ type: fc.constant("report" as const), cold: fc.nat(3).map(n => n === 0) }) },
    {
        weight: 2,
        arbitrary: fc.record({
            type: fc.constant("claims" as const),
            account,
            charged: fc.nat(50_000),
            refunded: fc.nat(10_000),
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            type: fc.constant("phase" as const),
            dataCentreState: fc.constantFrom("in" as const, "in" as const, "out" as const),
            targetState: fc.constantFrom("serving" as const, "serving" as const, "draining" as const),
        }),
    },
    {
        weight: 2,
        arbitrary: fc.record({
            type: fc.constant("overtake" as const),
            by: fc.constantFrom("withdrawRequested" as const, "workCancelled" as const),
            waitMs: fc.nat(5_000),
        }),
    },
    { weight: 1, arbitrary: fc.record({ type: fc.constant("targetLost" as const) }) },
    { weight: 1, arbitrary: fc.record({ type: fc.constant("leave" as const) }) },
    { weight: 8, arbitrary: fc.record({ type: fc.constant("advance" as const), ms: fc.nat(2_500) }) },
);

/** Tracks one agent from outside, as its router and target see it, independently of the agent's own tables. */
class AgentObserver {
    public readonly recorder = new ListRecorder();
    public readonly agent: AgentCore = createAgent(this.recorder);
    public readonly queued = new Map<string, { readonly deadlineAtMs: number }>();
    public readonly running = new Set<string>();
    private readonly everStarted = new Set<string>();
    /** Ids of requests withdrawn or refused since their last offer. */
    private readonly returnedIds = new Set<string>();
    private readonly ids: string[] = [];
    private readonly classes = new Map<string, string>();
    private overtakenCount = 0;
    private nowMs = 0;
    private offset = 1;
    private serving = true;
    private isLeaving = false;
    private lastShortAtMs = Number.NEGATIVE_INFINITY;

    public constructor() {
        this.send({ type: "documentAccepted", offset: 1, document: createDocument(limits) });
    }

    public apply(step: Command): void {
        switch (step.type) {
            case "offer":
                return this.offerNew(step);
            case "reoffer":
                return this.offerAgain(this.ids[step.pick % Math.max(1, this.ids.length)]);
            case "withdraw":
                return this.send({ type: "withdrawRequested", requestId: this.findId(step.pick) });
            case "cancel":
                return this.send({ type: "workCancelled", requestId: this.findId(step.pick) });
            case "firstOutput":
                return this.send({ type: "firstOutput", requestId: this.findRunning(step.pick) });
            case "progress":
                return this.send({ type: "progressed", requestId: this.findRunning(step.pick), tokens: step.tokens });
            case "end":
                return this.receiveEnd(this.findRunning(step.pick), step.outcome, step.tokens);
            case "report":
                return this.send({ type: "targetReported", cold: step.cold, running: 0, waiting: 0 });
            case "overtake":
                return this.offerOvertaken(step.by, step.waitMs);
            case "targetLost":
                return this.send({ type: "targetLost" });
            case "leave":
                this.serving = false;
                this.isLeaving = true;
                return this.send({ type: "leaving" });
            case "claims": {
                const clientAccount = accounts[step.account] ?? "club";
                const { charged, refunded } = step;
                const claim = { service: "planner", clientAccount, charged, refunded, lift: 0 };
                return this.send({ type: "claimsReceived", routerId: "r1", claims: [claim] });
            }
            case "phase": {
                this.offset += 1;
                this.serving = !this.isLeaving && step.dataCentreState === "in" && step.targetState === "serving";
                const document = createDocument({ ...limits, ...step });
                return this.send({ type: "documentAccepted", offset: this.offset, document });
            }
            case "advance":
                return this.advance(step.ms);
        }
    }

    private offerNew(step: Extract<Command, { type: "offer" }>): void {
        const id = `request-${this.ids.length}`;
        this.ids.push(id);
        this.offerAgain(id, step);
    }

    private offerOvertaken(by: "withdrawRequested" | "workCancelled", waitMs: number): void {
        const id = `overtaken-${this.overtakenCount}`;
        this.overtakenCount += 1;
        this.send({ type: by, requestId: id });
        this.advance(waitMs);
        this.send({ type: "workOffered", request: createRequest(id, { arrivedAtMs: this.nowMs }), routerId: "r1" });
    }

    private offerAgain(id: string | undefined, step?: Extract<Command, { type: "offer" }>): void {
        if (id === undefined) {
            return;
        }
        const isKnown = this.queued.has(id) || this.running.has(id);
        const request = createRequest(id, {
            clientAccount: accounts[step?.account ?? 0] ?? "club",
            service: step?.plain === true ? "bookings" : "planner",
            kind: step?.plain === true ? "plain" : "model",
            // Only for non-idempotent requests does the agent guarantee that a repeated offer does not start them
            // twice.
            idempotent: false,
            maxTokens: step?.long === true ? 2_000 : 50,
            arrivedAtMs: this.nowMs,
            deadlineAtMs: this.nowMs + (step?.remainingMs ?? 10_000),
        });
        if (!isKnown) {
            this.returnedIds.delete(id);
            this.queued.set(id, request);
        }
        this.send({ type: "workOffered", request, routerId: "r1" });
    }

    private receiveEnd(requestId: string, ended: RunOutcome, tokens: number): void {
        this.running.delete(requestId);
        this.send({ type: "runEnded", requestId, outcome: ended, promptTokens: 100, generatedTokens: tokens });
    }

    private advance(ms: number): void {
        const untilMs = this.nowMs + ms;
        let dueAtMs = this.agent.nextTickAtMs();
        while (dueAtMs !== undefined && dueAtMs <= untilMs) {
            this.nowMs = Math.max(this.nowMs, dueAtMs);
            this.check(this.agent.tick(this.nowMs));
            const nextAtMs = this.agent.nextTickAtMs();
            check(
                nextAtMs === undefined || nextAtMs > this.nowMs,
                `the timer is still due after the tick at ${this.nowMs} ms`,
            );
            dueAtMs = nextAtMs;
        }
        this.nowMs = untilMs;
    }

    private send(message: AgentMessage): void {
        this.check(this.agent.handle(message, this.nowMs));
    }

    private check(effects: readonly AgentEffect[]): void {
        for (const event of this.recorder.events.splice(0)) {
            if (event.kind === "request-queued" && event.reason === "short") {
                this.lastShortAtMs = this.nowMs;
            }
            if (event.kind === "request-queued" && event.requestId !== undefined) {
                this.classes.set(event.requestId, event.reason ?? "");
            }
        }
        for (const effect of effects) {
            this.checkEffect(effect);
        }
        this.checkConservation();
    }

    private checkEffect(effect: AgentEffect): void {
        const id = effect.requestId;
        switch (effect.type) {
            case "startWork": {
                const waiting = this.queued.get(id);
                check(
                    waiting !== undefined && !this.returnedIds.has(id),
                    `${id} started after it was withdrawn or refused`,
                );
                check(!this.everStarted.has(id), `${id} started twice`);
                check(this.serving, `${id} started while the agent is not serving`);
                check(waiting.deadlineAtMs > this.nowMs, `${id} started after its deadline`);
                this.queued.delete(id);
                this.running.add(id);
                this.everStarted.add(id);
                const report = this.agent.createBriefReport();
                const maxRunning = report.cold ? limits.coldLimit : limits.maxConcurrent;
                check(
                    this.running.size <= Math.min(maxRunning, limits.maxConcurrent),
                    `${id} started beyond the window`,
                );
                return;
            }
            case "workWithdrawn":
            case "refuseWork":
                check(!this.running.has(id), `${id} withdrawn or refused while it runs`);
                check(
                    !this.everStarted.has(id) ||
                        (effect.type === "refuseWork" && effect.refusal.execution !== "not-run"),
                    `${id} reported as not run after it had started`,
                );
                this.returnedIds.add(id);
                this.queued.delete(id);
                return;
            case "withdrawRefused":
                check(this.everStarted.has(id), `withdrawal of ${id} refused though it never started`);
                return;
            case "cancelRun":
                check(this.running.has(id), `${id} cancelled while it does not run`);
        }
    }

    /**
     * Checks that no slot is free while requests wait, except for long requests under the reserve and an open circuit.
     */
    private checkConservation(): void {
        const report = this.agent.createBriefReport();
        const isCircuitOpen = report.window < limits.coldLimit;
        if (!this.serving || isCircuitOpen || report.running >= report.window) {
            return;
        }
        const waiting = [...this.queued.keys()].map(id => this.classes.get(id));
        const isReserved = this.nowMs - this.lastShortAtMs < shortReserveExpiryMs;
        check(
            waiting.every(workClass => workClass === "long" && isReserved),
            `slots are free while ${waiting.length} requests wait`,
        );
    }

    private findId(index: number): string {
        return index % 5 === 0 ? `unseen-${index}` : (this.ids[index % Math.max(1, this.ids.length)] ?? "unseen");
    }

    private findRunning(index: number): string {
        const running = [...this.running];
        return running[index % Math.max(1, running.length)] ?? "none";
    }
}

function check(condition: boolean, message: string): asserts condition {
    if (!condition) {
        throw new Error(message);
    }
}

describe("AgentCore under any sequence of messages", () => {
    // Guards against requests that run twice, or run after they were reported as not run. Offers, withdrawals,
    // cancellations, ends, reports, claims and documents arrive in any order, repeated and late, while the target turns
    // cold at times.
    it("starts each request at most once, only within the window and while serving, and leaves no slot idle", () => {
        fc.assert(
            fc.property(fc.array(command, { minLength: 1, maxLength: 150, size: "max" }), steps => {
                const observer = new AgentObserver();
                steps.forEach(step => observer.apply(step));
            }),
            { seed: 4, numRuns: 400 },
        );
    });

    // Guards against starvation of an account that was served far more than the others before, by claims of any size,
    // while another account overloads the target. The catch-up cap limits how long the account has to wait.
    it("starts the only request of an account that is ahead by any amount, while another overloads the target", () => {
        fc.assert(
            fc.property(
                fc.integer({ min: 0, max: 1_000_000_000 }),
                fc.integer({ min: 50, max: 1_000 }),
                (lead, stepMs) => {
                    const agent = createAgent();
                    const document = createDocument({ weights: { department: 1, club: 1 }, ...limits });
                    agent.handle({ type: "documentAccepted", offset: 1, document }, 0);
                    const claim = { service: "planner", clientAccount: "club", charged: 1, refunded: 0, lift: 0 };
                    let nowMs = 0;
                    const started: string[] = [];
                    const send = (message: AgentMessage): void => {
                        for (const effect of agent.handle(message, nowMs)) {
                            started.push(effect.requestId);
                        }
                    };
                    const offer = (id: string, clientAccount: string): void => {
                        const request = createRequest(id, { clientAccount, arrivedAtMs: nowMs, deadlineAtMs: 1e9 });
                        send({ type: "workOffered", request, routerId: "r1" });
                    };
                    for (let index = 0; index < 600; index += 1) {
                        offer(`overload-${index}`, "department");
                    }
                    offer("club", "club");
                    send({ type: "claimsReceived", routerId: "r1", claims: [{ ...claim, charged: lead }] });
                    while (!started.includes("club") && nowMs < 600 * stepMs) {
                        nowMs += stepMs;
                        const requestId = started.shift() ?? "none";
                        send({
                            type: "runEnded",
                            requestId,
                            outcome: "completed",
                            promptTokens: 100,
                            generatedTokens: 100,
                        });
                    }
                    // The window of the catch-up cap, the idle period, and 12 steps that each serve one request; the
                    // cap lets an account catch up eight requests of the maximum cost.
                    const boundMs = catchUpWindowMs + idleAfterMs + 12 * stepMs;
                    check(started.includes("club"), "the account that is ahead was never served");
                    check(nowMs <= boundMs, `the account that is ahead waited ${nowMs} ms`);
                },
            ),
            { seed: 5, numRuns: 60 },
        );
    });
});
