import type { CancellationToken } from "../../base/cancellation.js";
import type { Clock } from "../../base/clock.js";
import { orderByRendezvous } from "../../base/hash.js";
import type { Logger } from "../../base/log.js";
import { RolloutEvaluator, type RolloutVerdict } from "../../decisions/rollouts/rolloutEvaluator.js";
import { chooseNextStep, type RolloutDecision } from "../../decisions/rollouts/rolloutPlan.js";
import type { RouteEvidence, VersionCounts } from "../../decisions/rollouts/versionEvidence.js";
import type { Target } from "../target.js";
import type { RolloutMessage } from "./rolloutMessage.js";
import type { RolloutRecords, RolloutStatus } from "./rolloutRecords.js";
import type { ServiceRollout } from "./serviceRollout.js";

/** What a decider knows of the targets. */
export interface TargetSource {
    computeCapacityRatio(rollout: ServiceRollout): number;
    listTargets(rollout: ServiceRollout): readonly Target[];
}

/** What a {@link RolloutDecider} needs. */
export interface RolloutDeciderOptions {
    readonly records: RolloutRecords;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly token: CancellationToken;
    readonly source: TargetSource;
}

/** Routers that sum up the evidence; the second one acts when the first does not. */
const deciderCount = 2;
/** From when a step is due until the second decider takes it; milliseconds. */
const secondDelayMs = 800;
/** A router without a report for this long is not known to have followed a step; milliseconds. */
const reportTtlMs = 1_500;

/**
 * Decides how a service's roll-out goes on, and writes it.
 *
 * Any router may decide: the store takes a write only if nothing was written since the writer's read, so that two deciders, or a write
 * that lands late, can't take a roll-out back. Which routers do it follows from who is there, without a lease.
 */
export class RolloutDecider {
    private readonly judge = new RolloutEvaluator();
    private readonly reports = new Map<string, { readonly message: RolloutMessage; readonly atMs: number }>();
    private rank = Number.POSITIVE_INFINITY;
    private dueSinceMs: number | undefined;
    private isWriting = false;
    private mustWriteAgain = false;

    public constructor(
        private readonly rollout: ServiceRollout,
        private readonly options: RolloutDeciderOptions,
    ) {}

    /** Whether there is still something to report or to decide. */
    public get isActive(): boolean {
        const { status, isWithdrawn, hasEnded } = this.rollout;
        const wasNeverBegun = isWithdrawn && status === undefined;
        return (!hasEnded && !wasNeverBegun) || this.mustWriteAgain;
    }

    /** Undefined at a router that does not sum up the evidence. */
    public get verdict(): RolloutVerdict | undefined {
        return this.isDecider ? this.judge.verdict : undefined;
    }

    public get routes(): readonly RouteEvidence[] | undefined {
        return this.isDecider ? this.judge.routeTotals : undefined;
    }

    /** The routers that sum up the evidence; of `routerIds`, those with recent reports. */
    public chooseDeciders(routerIds: readonly string[], ownId: string): readonly string[] {
        const key = `${this.rollout.order.service} ${this.rollout.order.version}`;
        const chosen = orderByRendezvous(key, routerIds, id => id).slice(0, deciderCount);
        const rank = chosen.indexOf(ownId);
        this.rank = rank < 0 ? Number.POSITIVE_INFINITY : rank;
        return chosen;
    }

    public applyMessage(senderId: string, message: RolloutMessage): void {
        const nowMs = this.options.clock.nowMs();
        this.reports.set(senderId, { message, atMs: nowMs });
        this.judge.apply(`${senderId} ${message.incarnation}`, message.evidence, nowMs);
    }

    /** The store may have lost what was written last. */
    public handleRewind(): void {
        this.mustWriteAgain = this.rollout.status !== undefined;
    }

    /** Takes the next step if it is due and this router's turn. */
    public advance(routerIds: readonly string[]): void {
        const { rollout, options } = this;
        if (!this.isDecider) {
            this.dueSinceMs = undefined;
            return;
        }
        if (this.judge.verdict === "bad") {
            rollout.recordBad();
        }
        const next = this.chooseStatus(routerIds);
        if (next === undefined) {
            this.dueSinceMs = undefined;
            return;
        }
        const nowMs = options.clock.nowMs();
        this.dueSinceMs ??= nowMs;
        if (!this.isWriting && nowMs - this.dueSinceMs >= this.rank * secondDelayMs) {
            void this.write(next);
        }
    }

    private get isDecider(): boolean {
        return this.rank < deciderCount;
    }

    /** The status to write; undefined: the store's holds. */
    private chooseStatus(routerIds: readonly string[]): RolloutStatus | undefined {
        const { status } = this.rollout;
        if (status === undefined) {
            return this.rollout.isWithdrawn ? undefined : this.createFirstStatus();
        }
        if (this.mustWriteAgain) {
            return status;
        }
        const decision = hasEnded(status) ? undefined : this.chooseNext(status, routerIds);
        return decision === undefined ? undefined : createNextStatus(status, decision);
    }

    private createFirstStatus(): RolloutStatus {
        const { rollout, options } = this;
        const { service, version } = rollout.order;
        const targets = options.source.listTargets(rollout);
        const isThere = targets.length > 0 && targets.every(target => rollout.isCandidate(target));
        return {
            service,
            version,
            state: isThere ? "complete" : "running",
            step: isThere ? "switch" : "canary",
            startedAt: new Date(options.clock.nowDate().getTime() - rollout.ageMs),
            reason: isThere ? "all targets are of the version" : "ordered",
            rejectedVersions: rollout.rejectedVersions.filter(rejected => rejected !== version),
        };
    }

    private chooseNext({ step }: RolloutStatus, routerIds: readonly string[]): RolloutDecision | undefined {
        const { rollout, judge, options } = this;
        return chooseNextStep({
            step,
            ageMs: rollout.ageMs,
            stepAgeMs: rollout.stepAgeMs,
            durationMs: rollout.order.durationMs,
            verdict: rollout.isBad ? "bad" : judge.verdict,
            capacityRatio: options.source.computeCapacityRatio(rollout),
            isOldVersionIdle: routerIds.every(id => this.isIdle(id)),
            isWithdrawn: rollout.isWithdrawn,
        });
    }

    private isIdle(routerId: string): boolean {
        const report = this.reports.get(routerId);
        return (
            report !== undefined &&
            report.message.step === "switch" &&
            report.message.baselineRunning === 0 &&
            this.options.clock.nowMs() - report.atMs <= reportTtlMs
        );
    }

    private async write(next: RolloutStatus): Promise<void> {
        const { rollout, options } = this;
        const { records, logger, token } = options;
        // What the decision was made on: while the store is read, another router's later status may arrive.
        const before = rollout.status;
        this.isWriting = true;
        try {
            const stored = await records.read(next.service, token);
            if (stored.isErr()) {
                logger.write("warn", "a roll-out's status can't be read", { detail: stored.error.message });
                return;
            }
            const { status, endOffset } = stored.value;
            // The store knows a later order than this router.
            if (status !== undefined && this.isLaterOrder(status)) {
                return;
            }
            // Another router was first. A status behind the one that is known is what the store came back with from an older copy.
            if (status !== undefined && rollout.applyStatus(status) && !isSame(status, before)) {
                return;
            }
            if (this.mustWriteAgain && isSame(status, before)) {
                this.mustWriteAgain = false;
                return;
            }
            const outcome = await records.write(next, endOffset, token);
            if (outcome.isErr()) {
                logger.write("warn", "a roll-out's status can't be written", { detail: outcome.error.message });
            } else if (outcome.value === "written") {
                rollout.applyStatus(next);
                this.mustWriteAgain = false;
                this.writeStep(next);
            }
        } finally {
            this.isWriting = false;
        }
    }

    private isLaterOrder({ version, rejectedVersions }: RolloutStatus): boolean {
        const { order, status } = this.rollout;
        return version !== order.version && (status !== undefined || rejectedVersions.includes(order.version));
    }

    private writeStep({ service, version, state, step, reason }: RolloutStatus): void {
        const { rollout, judge, options } = this;
        const { candidate, baseline } = judge.totals;
        options.logger.write("info", "a roll-out goes on", {
            service,
            version,
            state,
            step,
            reason,
            verdict: judge.verdict,
            ageMs: Math.round(rollout.ageMs),
            candidate: describeCounts(candidate),
            baseline: describeCounts(baseline),
        });
    }
}

function createNextStatus(status: RolloutStatus, { next, reason }: RolloutDecision): RolloutStatus {
    return next === "complete" || next === "rolled-back"
        ? { ...status, state: next, reason }
        : { ...status, step: next, reason };
}

function hasEnded({ state }: RolloutStatus): boolean {
    return state !== "running";
}

function isSame(first: RolloutStatus | undefined, second: RolloutStatus | undefined): boolean {
    return first?.version === second?.version && first?.state === second?.state && first?.step === second?.step;
}

function describeCounts({ requests, failures, slow }: VersionCounts): string {
    return `${requests} requests, ${failures} failed, ${slow} slow`;
}
