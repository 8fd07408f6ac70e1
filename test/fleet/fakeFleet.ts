import { SeededRandom } from "../../src/base/random.js";
import type { FleetEventInput } from "../../src/events/fleetEvent.js";
import { defaultRouterOptions } from "../../src/fleet/router/options.js";
import { RouterCore } from "../../src/fleet/router/routerCore.js";
import type { RouterEffect, RouterMessage } from "../../src/fleet/routerMessages.js";
import { createDocument, createReport, createRequest } from "./routerFixtures.js";

/** One way a run can go on; numbers pick from what is there, modulo its size. */
export type Step =
    | { readonly kind: "submit"; readonly pick: number; readonly work: "idempotent" | "non-idempotent" | "keyed" }
    | {
          readonly kind: "deliverToAgent" | "deliverToRouter" | "repeatToRouter" | "breakConnection";
          readonly pick: number;
      }
    | { readonly kind: "start" | "finish" | "refuse" | "fail" | "cancel"; readonly pick: number }
    | { readonly kind: "report" | "drain" | "lose"; readonly pick: number }
    | { readonly kind: "advance"; readonly ms: number };

interface Attempt {
    readonly requestId: string;
    readonly agentId: string;
    readonly attempt: number;
    /** Where it stands at the agent. */
    place: "travelling" | "queued" | "started" | "over";
    /** Whether the router was told, by a message it may rely on, that the attempt will not run (any more). */
    released: boolean;
}

const accounts = ["department", "club1", "club2"];

/**
 * A router with three agents that do as they please, over a network that loses, repeats and reorders. Throws at the
 * first breach of what must hold.
 */
export class FakeFleet {
    private readonly core: RouterCore;
    private readonly attempts: Attempt[] = [];
    private toAgents: { readonly type: "offer" | "withdraw" | "cancel"; readonly attempt: Attempt }[] = [];
    private toRouter: RouterMessage[] = [];
    private readonly outcomes = new Map<string, string[]>();
    private readonly idempotentIds = new Set<string>();
    private readonly runs = new Map<string, number>();
    private readonly withdrawnIds = new Set<string>();
    private readonly retryTimes: number[] = [];
    private nowMs = 0;
    private sequence = 1;

    public constructor(
        seed: number,
        private readonly agentIds: readonly string[],
    ) {
        const recorder = { record: (event: FleetEventInput): void => this.handleEvent(event) };
        this.core = new RouterCore("router-1", "a", defaultRouterOptions, recorder, new SeededRandom(seed));
        const limits = { ...createDocument().limits, maxWaitingTotal: maxWaiting };
        this.sendToRouter({ type: "documentAccepted", offset: 0, document: createDocument({ limits }) });
        this.agentIds.forEach(agentId => this.sendReport(agentId));
    }

    public run(step: Step): void {
        switch (step.kind) {
            case "submit":
                return this.handleSubmit(step.pick, step.work);
            case "deliverToAgent":
                return this.handleAtAgent(step.pick);
            case "deliverToRouter":
            case "repeatToRouter":
                return this.handleAtRouter(step.pick, step.kind === "repeatToRouter");
            case "breakConnection":
                return this.closeConnection(pickFrom(this.listOpen(), step.pick));
            case "start":
                return this.start(pickFrom(this.listAt("queued"), step.pick));
            case "finish":
            case "fail":
                return this.stop(pickFrom(this.listAt("started"), step.pick), step.kind);
            case "refuse":
                return this.refuse(pickFrom(this.listAt("queued"), step.pick));
            case "cancel":
                return this.cancel(step.pick);
            case "report":
                return this.sendReport(pickFrom(this.agentIds, step.pick) ?? "t1");
            case "drain":
                return this.sendReport(pickFrom(this.agentIds, step.pick) ?? "t1", "draining");
            case "lose":
                return this.sendToRouter({ type: "agentLost", agentId: pickFrom(this.agentIds, step.pick) ?? "t1" });
            case "advance":
                this.nowMs += step.ms;
                return this.handleEffects(this.core.tick(this.nowMs));
        }
    }

    /** Lets all answers arrive, closes what stays open, and checks that each request had exactly one outcome. */
    public runToEnd(): void {
        for (let round = 0; round < 200 && this.core.countWaiting() + this.core.countRunning() > 0; round++) {
            this.toRouter.splice(0).forEach(message => this.sendToRouter(message));
            this.listOpen().forEach(attempt => this.closeConnection(attempt));
            this.run({ kind: "advance", ms: 1_000 });
        }
        for (const [requestId, outcomes] of this.outcomes) {
            check(outcomes.length === 1, `${requestId} ended ${outcomes.length} times: ${outcomes.join()}`);
        }
        check(this.core.countWaiting() + this.core.countRunning() === 0, "something is left over");
    }

    private handleSubmit(pick: number, work: "idempotent" | "non-idempotent" | "keyed"): void {
        const id = `r${this.outcomes.size}`;
        this.outcomes.set(id, []);
        if (work === "idempotent") {
            this.idempotentIds.add(id);
        }
        const request = createRequest(id, {
            clientAccount: pickFrom(accounts, pick) ?? "club1",
            idempotent: work === "idempotent",
            idempotencyKey: work === "keyed" ? `key-${id}` : undefined,
            deadlineAtMs: this.nowMs + 5_000,
        });
        const homeAgentId = work === "keyed" ? pickFrom(this.agentIds, pick) : undefined;
        this.sendToRouter({ type: "submitted", request, homeAgentId });
        check(this.core.countWaiting() <= maxWaiting, "more waits than the bound");
    }

    private handleAtAgent(pick: number): void {
        const message = pickFrom(this.toAgents, pick);
        if (message === undefined) {
            return;
        }
        this.toAgents = this.toAgents.filter(other => other !== message);
        const { attempt } = message;
        const key = `${attempt.agentId} ${attempt.requestId}`;
        if (message.type === "offer") {
            if (attempt.place === "travelling") {
                attempt.place = this.withdrawnIds.has(key) ? "over" : "queued";
            }
        } else if (message.type === "cancel") {
            attempt.place = "over";
        } else if (attempt.place === "travelling" || attempt.place === "queued") {
            this.withdrawnIds.add(key);
            attempt.place = "over";
            this.addAnswer(attempt, { type: "workWithdrawn" });
        } else if (attempt.place === "started") {
            this.addAnswer(attempt, { type: "workStarted" });
        }
    }

    private handleAtRouter(pick: number, repeat: boolean): void {
        const message = pickFrom(this.toRouter, pick);
        if (message !== undefined) {
            this.toRouter = repeat ? this.toRouter : this.toRouter.filter(other => other !== message);
            this.sendToRouter(message);
        }
    }

    /** The router sees a reset; the agent sees its side close at the same time and drops what has not started. */
    private closeConnection(attempt: Attempt | undefined): void {
        if (attempt === undefined) {
            return;
        }
        attempt.place = "over";
        this.sendToRouter({ ...createAnswer(attempt), type: "workFailed", execution: "unknown", detail: "reset" });
    }

    private start(attempt: Attempt | undefined): void {
        if (attempt === undefined) {
            return;
        }
        attempt.place = "started";
        const { requestId } = attempt;
        const runs = (this.runs.get(requestId) ?? 0) + 1;
        this.runs.set(requestId, runs);
        check(runs === 1 || this.idempotentIds.has(requestId), `${requestId} ran twice`);
        check(!this.outcomes.get(requestId)?.includes("not-run"), `${requestId} ran after "not-run"`);
        this.addAnswer(attempt, { type: "workStarted" });
    }

    private stop(attempt: Attempt | undefined, kind: "finish" | "fail"): void {
        if (attempt === undefined) {
            return;
        }
        attempt.place = "over";
        if (kind === "finish") {
            this.toRouter.push({ ...createAnswer(attempt), type: "workEnded", cost: 10 });
        } else {
            this.toRouter.push({ ...createAnswer(attempt), type: "workFailed", execution: "ran", detail: "broke" });
        }
    }

    private refuse(attempt: Attempt | undefined): void {
        if (attempt !== undefined) {
            attempt.place = "over";
            const refusal = { reason: "queue-full", execution: "not-run", retryAfterMs: 1, detail: "full" } as const;
            this.toRouter.push({ ...createAnswer(attempt), type: "workRefused", refusal });
        }
    }

    private cancel(pick: number): void {
        const open = [...this.outcomes].filter(([, outcomes]) => outcomes.length === 0);
        const chosen = pickFrom(open, pick);
        if (chosen !== undefined) {
            this.sendToRouter({ type: "cancelled", requestId: chosen[0] });
        }
    }

    private sendReport(agentId: string, phase: "serving" | "draining" = "serving"): void {
        this.sequence += 1;
        const queued = this.attempts.filter(
            attempt => attempt.agentId === agentId && attempt.place === "queued",
        ).length;
        const running = this.attempts.filter(attempt => attempt.agentId === agentId && attempt.place === "started");
        const report = createReport(agentId, this.sequence, { phase, queued, running: running.length });
        this.sendToRouter({ type: "agentReported", report });
    }

    private addAnswer(attempt: Attempt, message: { readonly type: "workWithdrawn" | "workStarted" }): void {
        this.toRouter.push({ ...createAnswer(attempt), ...message });
    }

    private sendToRouter(message: RouterMessage): void {
        this.recordReleases(message);
        const wasOpen = "requestId" in message && this.outcomes.get(message.requestId)?.length === 0;
        const waitingBefore = this.core.countWaiting() + this.core.countRunning();
        this.handleEffects(this.core.handle(message, this.nowMs));
        const waitingAfter = this.core.countWaiting() + this.core.countRunning();
        if (message.type === "workEnded" && wasOpen && waitingAfter < waitingBefore) {
            this.addOutcome(message.requestId, "ended");
        }
    }

    /** Notes which attempts the router may take as over after a message. */
    private recordReleases(message: RouterMessage): void {
        for (const attempt of this.attempts) {
            const isIdempotent = this.idempotentIds.has(attempt.requestId);
            if (message.type === "agentLost" && message.agentId === attempt.agentId) {
                attempt.released ||= isIdempotent;
            }
            if (
                "attempt" in message &&
                message.attempt === attempt.attempt &&
                message.requestId === attempt.requestId
            ) {
                const isNotRun =
                    message.type === "workWithdrawn" ||
                    (message.type === "workRefused" && message.refusal.execution === "not-run");
                attempt.released ||= isNotRun || (message.type === "workFailed" && isIdempotent);
            }
        }
    }

    private handleEffects(effects: readonly RouterEffect[]): void {
        for (const effect of effects) {
            this.handleEffect(effect);
        }
    }

    private handleEffect(effect: RouterEffect): void {
        const { requestId } = effect;
        if (effect.type === "refuse") {
            this.addOutcome(requestId, effect.refusal.execution);
            if (effect.refusal.execution === "not-run") {
                check(!this.runs.has(requestId), `${requestId} ran and was refused as not run`);
            }
            return;
        }
        const earlier = this.attempts.filter(attempt => attempt.requestId === requestId);
        if (effect.type === "sendWork") {
            const held = earlier.filter(attempt => !attempt.released).map(attempt => attempt.agentId);
            check(held.length === 0, `${requestId} sent to ${effect.agentId} while ${held.join()} may hold it`);
            const { agentId, attempt: number } = effect;
            const attempt: Attempt = { requestId, agentId, attempt: number, place: "travelling", released: false };
            this.attempts.push(attempt);
            this.toAgents.push({ type: "offer", attempt });
            return;
        }
        const attempt = earlier.filter(candidate => candidate.agentId === effect.agentId).at(-1);
        if (attempt !== undefined) {
            this.toAgents.push({ type: effect.type === "withdrawWork" ? "withdraw" : "cancel", attempt });
        }
    }

    private handleEvent(event: FleetEventInput): void {
        if (event.kind === "request-cancelled" && event.requestId !== undefined) {
            this.addOutcome(event.requestId, "cancelled");
        }
        if (event.kind === "request-retried") {
            this.retryTimes.push(this.nowMs);
            const recent = this.retryTimes.filter(atMs => atMs > this.nowMs - 9_000).length;
            check(recent <= minRetriesPerRouter, "more retries than the budget allows");
        }
    }

    private addOutcome(requestId: string, outcome: string): void {
        this.outcomes.get(requestId)?.push(outcome);
    }

    private listAt(place: Attempt["place"]): readonly Attempt[] {
        return this.attempts.filter(attempt => attempt.place === place);
    }

    private listOpen(): readonly Attempt[] {
        return this.attempts.filter(attempt => attempt.place !== "over");
    }
}

const maxWaiting = 12;
/** Runs are shorter than a hundred first tries, so that the budget's floor is the whole budget. */
const minRetriesPerRouter = 10;

function createAnswer({ requestId, agentId, attempt }: Attempt): Pick<Attempt, "requestId" | "agentId" | "attempt"> {
    return { requestId, agentId, attempt };
}

function pickFrom<T>(list: readonly T[], pick: number): T | undefined {
    return list[pick % Math.max(1, list.length)];
}

function check(holds: boolean, message: string): void {
    if (!holds) {
        throw new Error(message);
    }
}
