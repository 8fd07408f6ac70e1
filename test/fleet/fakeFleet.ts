import { SeededRandom } from "../../src/base/random.js";
import type { FleetEventInput } from "../../src/events/fleetEvent.js";
import { defaultRouterOptions } from "../../src/fleet/router/options.js";
import { RouterCore } from "../../src/fleet/router/routerCore.js";
import type { RouterEffect, RouterMessage } from "../../src/fleet/routerMessages.js";
import { createDocument, createReport, createRequest } from "./routerFixtures.js";

/** One step of a simulated run; `pick` is an index into the available choices, modulo their number. */
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
    /** Status at the agent. */
    status: "inTransit" | "queued" | "started" | "ended";
    /** Whether the router received a reliable message that the attempt will not run, or no longer runs. */
    released: boolean;
}

const accounts = ["department", "club1", "club2"];

/**
 * A router with three agents that behave arbitrarily, over a network that loses, duplicates and reorders messages.
 * Throws at the first violated invariant.
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
                return this.closeConnection(pickFrom(this.listOpenAttempts(), step.pick));
            case "start":
                return this.start(pickFrom(this.listByStatus("queued"), step.pick));
            case "finish":
            case "fail":
                return this.stop(pickFrom(this.listByStatus("started"), step.pick), step.kind);
            case "refuse":
                return this.refuse(pickFrom(this.listByStatus("queued"), step.pick));
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

    /** Delivers all messages, closes all open connections and checks that each request had exactly one outcome. */
    public runToEnd(): void {
        for (let round = 0; round < 200 && this.core.countWaiting() + this.core.countRunning() > 0; round++) {
            this.toRouter.splice(0).forEach(message => this.sendToRouter(message));
            this.listOpenAttempts().forEach(attempt => this.closeConnection(attempt));
            this.run({ kind: "advance", ms: 1_000 });
        }
        for (const [requestId, outcomes] of this.outcomes) {
            check(outcomes.length === 1, `${requestId} ended ${outcomes.length} times: ${outcomes.join()}`);
        }
        check(this.core.countWaiting() + this.core.countRunning() === 0, "requests remain open after 200 rounds");
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
        check(this.core.countWaiting() <= maxWaiting, "more requests are waiting than maxWaiting allows");
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
            if (attempt.status === "inTransit") {
                attempt.status = this.withdrawnIds.has(key) ? "ended" : "queued";
            }
        } else if (message.type === "cancel") {
            attempt.status = "ended";
        } else if (attempt.status === "inTransit" || attempt.status === "queued") {
            this.withdrawnIds.add(key);
            attempt.status = "ended";
            this.addReply(attempt, { type: "workWithdrawn" });
        } else if (attempt.status === "started") {
            this.addReply(attempt, { type: "workStarted" });
        }
    }

    private handleAtRouter(pick: number, repeat: boolean): void {
        const message = pickFrom(this.toRouter, pick);
        if (message !== undefined) {
            this.toRouter = repeat ? this.toRouter : this.toRouter.filter(other => other !== message);
            this.sendToRouter(message);
        }
    }

    /** Resets the connection: the router receives the error, and the agent drops the attempt at the same time. */
    private closeConnection(attempt: Attempt | undefined): void {
        if (attempt === undefined) {
            return;
        }
        attempt.status = "ended";
        this.sendToRouter({ ...getAttemptIds(attempt), type: "workFailed", execution: "unknown", detail: "reset" });
    }

    private start(attempt: Attempt | undefined): void {
        if (attempt === undefined) {
            return;
        }
        attempt.status = "started";
        const { requestId } = attempt;
        const runs = (this.runs.get(requestId) ?? 0) + 1;
        this.runs.set(requestId, runs);
        check(runs === 1 || this.idempotentIds.has(requestId), `${requestId} ran twice`);
        check(!this.outcomes.get(requestId)?.includes("not-run"), `${requestId} ran after "not-run"`);
        this.addReply(attempt, { type: "workStarted" });
    }

    private stop(attempt: Attempt | undefined, kind: "finish" | "fail"): void {
        if (attempt === undefined) {
            return;
        }
        attempt.status = "ended";
        if (kind === "finish") {
            this.toRouter.push({ ...getAttemptIds(attempt), type: "workEnded", cost: 10 });
        } else {
            this.toRouter.push({
                ...getAttemptIds(attempt),
                type: "workFailed",
                execution: "ran",
                detail: "disconnected",
            });
        }
    }

    private refuse(attempt: Attempt | undefined): void {
        if (attempt !== undefined) {
            attempt.status = "ended";
            const refusal = { reason: "queue-full", execution: "not-run", retryAfterMs: 1, detail: "full" } as const;
            this.toRouter.push({ ...getAttemptIds(attempt), type: "workRefused", refusal });
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
            attempt => attempt.agentId === agentId && attempt.status === "queued",
        ).length;
        const running = this.attempts.filter(attempt => attempt.agentId === agentId && attempt.status === "started");
        const report = createReport(agentId, this.sequence, { phase, queued, running: running.length });
        this.sendToRouter({ type: "agentReported", report });
    }

    private addReply(attempt: Attempt, message: { readonly type: "workWithdrawn" | "workStarted" }): void {
        this.toRouter.push({ ...getAttemptIds(attempt), ...message });
    }

    private sendToRouter(message: RouterMessage): void {
        this.recordReleases(message);
        const wasOpen = "requestId" in message && this.outcomes.get(message.requestId)?.length === 0;
        const openBefore = this.core.countWaiting() + this.core.countRunning();
        this.handleEffects(this.core.handle(message, this.nowMs));
        const openAfter = this.core.countWaiting() + this.core.countRunning();
        if (message.type === "workEnded" && wasOpen && openAfter < openBefore) {
            this.addOutcome(message.requestId, "ended");
        }
    }

    /** Marks the attempts that the router may treat as ended after a message. */
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
                const isNotExecuted =
                    message.type === "workWithdrawn" ||
                    (message.type === "workRefused" && message.refusal.execution === "not-run");
                attempt.released ||= isNotExecuted || (message.type === "workFailed" && isIdempotent);
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
                check(!this.runs.has(requestId), `${requestId} ran and was refused as not executed`);
            }
            return;
        }
        const earlier = this.attempts.filter(attempt => attempt.requestId === requestId);
        if (effect.type === "sendWork") {
            const holders = earlier.filter(attempt => !attempt.released).map(attempt => attempt.agentId);
            check(
                holders.length === 0,
                `${requestId} sent to ${effect.agentId} while ${holders.join()} may still hold it`,
            );
            const { agentId, attempt: number } = effect;
            const attempt: Attempt = { requestId, agentId, attempt: number, status: "inTransit", released: false };
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
            check(recent <= minRetriesPerRouter, "more retries within 9 s than the budget allows");
        }
    }

    private addOutcome(requestId: string, outcome: string): void {
        this.outcomes.get(requestId)?.push(outcome);
    }

    private listByStatus(status: Attempt["status"]): readonly Attempt[] {
        return this.attempts.filter(attempt => attempt.status === status);
    }

    private listOpenAttempts(): readonly Attempt[] {
        return this.attempts.filter(attempt => attempt.status !== "ended");
    }
}

const maxWaiting = 12;
/** Runs have fewer than a hundred first attempts, so that the minimum is the whole retry budget. */
const minRetriesPerRouter = 10;

function getAttemptIds({ requestId, agentId, attempt }: Attempt): Pick<Attempt, "requestId" | "agentId" | "attempt"> {
    return { requestId, agentId, attempt };
}

function pickFrom<T>(list: readonly T[], pick: number): T | undefined {
    return list[pick % Math.max(1, list.length)];
}

function check(condition: boolean, message: string): void {
    if (!condition) {
        throw new Error(message);
    }
}
