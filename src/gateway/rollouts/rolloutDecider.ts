import type { CancellationToken } from "../../base/cancellation.js";
import type { Clock } from "../../base/clock.js";
import { orderByRendezvous } from "../../base/hash.js";
import type { Logger } from "../../base/log.js";
import { runTaskLogged } from "../../base/runLogged.js";
import type { RouterView } from "../../decisions/limits/coldLimit.js";
import { RolloutEvaluator, type RolloutVerdict } from "../../decisions/rollouts/rolloutEvaluator.js";
import { chooseNextStep, type RolloutDecision } from "../../decisions/rollouts/rolloutPlan.js";
import type { RouteEvidence, VersionCounts } from "../../decisions/rollouts/versionEvidence.js";
import type { Target } from "../target.js";
import type { RolloutMessage } from "./rolloutMessage.js";
import type { RolloutRecords, RolloutStatus } from "./rolloutRecords.js";
import type { ServiceRollout } from "./serviceRollout.js";

/** Target data that a decider needs. */
export interface TargetSource {
    computeCapacityRatio(rollout: ServiceRollout): number;
    listTargets(rollout: ServiceRollout): readonly Target[];
}

/** Dependencies of a {@link RolloutDecider}. */
export interface RolloutDeciderOptions {
    readonly records: RolloutRecords;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly token: CancellationToken;
    readonly source: TargetSource;
}

/** The routers of the fleet. */
export type FleetView = Pick<RouterView, "routerIds" | "unheard">;

/** Number of routers that aggregate the evidence of the fleet; the second one acts if the first one does not. */
const deciderCount = 2;
/** Time after a step is due at which the second decider writes it; milliseconds. */
const secondDeciderDelayMs = 800;
/** Reports older than this no longer show that their router follows the current step; milliseconds. */
const reportTtlMs = 1_500;

/**
 * Decides the next step of a service's roll-out and writes it to the store.
 *
 * Any router may decide: the store accepts a write only if nothing was written since the writer's read, so two deciders or a delayed
 * write can't revert a roll-out. The deciders are chosen by rendezvous hashing over the present routers, without a lease.
 */
export class RolloutDecider {
    private readonly evaluator = new RolloutEvaluator();
    private readonly reports = new Map<string, { readonly message: RolloutMessage; readonly atMs: number }>();
    private rank = Number.POSITIVE_INFINITY;
    private dueSinceMs: number | undefined;
    private isWriting = false;
    private mustRewrite = false;

    public constructor(
        private readonly rollout: ServiceRollout,
        private readonly options: RolloutDeciderOptions,
    ) {}

    /** Whether evidence must still be reported or a status be written. */
    public get isActive(): boolean {
        const { status, isWithdrawn, hasEnded } = this.rollout;
        const wasNeverStarted = isWithdrawn && status === undefined;
        return (!hasEnded && !wasNeverStarted) || this.mustRewrite;
    }

    /** Undefined at a router that is not a decider. */
    public get verdict(): RolloutVerdict | undefined {
        return this.isDecider ? this.evaluator.verdict : undefined;
    }

    /** Evidence of the whole fleet by route; undefined at a router that is not a decider. */
    public get routes(): readonly RouteEvidence[] | undefined {
        return this.isDecider ? this.evaluator.routeTotals : undefined;
    }

    /** Chooses the deciders among `routerIds` and updates this router's rank among them. */
    public chooseDeciders(routerIds: readonly string[], ownId: string): readonly string[] {
        const key = `${this.rollout.order.service} ${this.rollout.order.version}`;
        const chosen = orderByRendezvous(key, routerIds, id => id).slice(0, deciderCount);
        const rank = chosen.indexOf(ownId);
        this.rank = rank < 0 ? Number.POSITIVE_INFINITY : rank;
        return chosen;
    }

    /** Adds a router's report, which may be this router's own, to the evidence. */
    public applyMessage(senderId: string, message: RolloutMessage): void {
        const nowMs = this.options.clock.nowMs();
        this.reports.set(senderId, { message, atMs: nowMs });
        this.evaluator.apply(`${senderId} ${message.incarnation}`, message.evidence, nowMs);
    }

    /** Schedules the current status to be written again, since the store may have lost it when an older copy was restored. */
    public handleRewind(): void {
        this.mustRewrite = this.rollout.status !== undefined;
    }

    /** Writes the next step if it is due and this router is the one to write it. `routers`: all routers, also those that are silent at the moment. */
    public advance(routers: FleetView): void {
        const { rollout, options } = this;
        if (!this.isDecider) {
            this.dueSinceMs = undefined;
            return;
        }
        if (this.evaluator.verdict === "bad") {
            rollout.recordBad();
        }
        const next = this.chooseStatus(routers);
        if (next === undefined) {
            this.dueSinceMs = undefined;
            return;
        }
        const nowMs = options.clock.nowMs();
        this.dueSinceMs ??= nowMs;
        if (!this.isWriting && nowMs - this.dueSinceMs >= this.rank * secondDeciderDelayMs) {
            runTaskLogged(options.logger, "writing the roll-out status failed", () => this.write(next));
        }
    }

    private get isDecider(): boolean {
        return this.rank < deciderCount;
    }

    /** The status to write; undefined if the stored status is still valid. */
    private chooseStatus(routers: FleetView): RolloutStatus | undefined {
        const { status } = this.rollout;
        if (status === undefined) {
            return this.rollout.isWithdrawn ? undefined : this.createFirstStatus();
        }
        if (this.mustRewrite) {
            return status;
        }
        const decision = hasEnded(status) ? undefined : this.chooseNext(status, routers);
        return decision === undefined ? undefined : createNextStatus(status, decision);
    }

    private createFirstStatus(): RolloutStatus {
        const { rollout, options } = this;
        const { service, version } = rollout.order;
        const targets = options.source.listTargets(rollout);
        const isAlreadyComplete = targets.length > 0 && targets.every(target => rollout.isCandidate(target));
        return {
            service,
            version,
            state: isAlreadyComplete ? "complete" : "running",
            step: isAlreadyComplete ? "switch" : "canary",
            startedAt: new Date(options.clock.nowDate().getTime() - rollout.ageMs),
            reason: isAlreadyComplete ? "all targets are of the version" : "ordered",
            rejectedVersions: rollout.rejectedVersions.filter(rejected => rejected !== version),
        };
    }

    private chooseNext({ step }: RolloutStatus, routers: FleetView): RolloutDecision | undefined {
        const { rollout, evaluator, options } = this;
        return chooseNextStep({
            step,
            ageMs: rollout.ageMs,
            stepAgeMs: rollout.stepAgeMs,
            durationMs: rollout.order.durationMs,
            verdict: rollout.isBad ? "bad" : evaluator.verdict,
            capacityRatio: options.source.computeCapacityRatio(rollout),
            isOldVersionIdle: this.isOldVersionIdle(routers),
            isWithdrawn: rollout.isWithdrawn,
        });
    }

    /** A silent router may still have requests at the old version, and so may those of which this router has heard nothing. */
    private isOldVersionIdle({ routerIds, unheard }: FleetView): boolean {
        const hasHeardOthers = routerIds.length > 1 || unheard === 0;
        return hasHeardOthers && routerIds.every(id => this.isIdle(id));
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
        // The status that the decision is based on; another router's later status may arrive while the store is read.
        const before = rollout.status;
        this.isWriting = true;
        try {
            const stored = await records.read(next.service, token);
            if (stored.isErr()) {
                logger.write("warn", "reading the roll-out status failed", { detail: stored.error.message });
                return;
            }
            const { status, endOffset } = stored.value;
            // The store holds the status of a later order than this router has received.
            if (status !== undefined && this.isLaterOrder(status)) {
                return;
            }
            // Another router wrote first, unless the stored status is behind the known one: then the store was restored from an older copy.
            if (status !== undefined && rollout.applyStatus(status) && !isSame(status, before)) {
                return;
            }
            if (this.mustRewrite && isSame(status, before)) {
                this.mustRewrite = false;
                return;
            }
            const outcome = await records.write(next, endOffset, token);
            if (outcome.isErr()) {
                logger.write("warn", "writing the roll-out status failed", { detail: outcome.error.message });
            } else if (outcome.value === "written") {
                rollout.applyStatus(next);
                this.mustRewrite = false;
                this.writeStepLog(next);
            }
        } finally {
            this.isWriting = false;
        }
    }

    private isLaterOrder({ version, rejectedVersions }: RolloutStatus): boolean {
        const { order, status } = this.rollout;
        return version !== order.version && (status !== undefined || rejectedVersions.includes(order.version));
    }

    private writeStepLog({ service, version, state, step, reason }: RolloutStatus): void {
        const { rollout, evaluator, options } = this;
        const { candidate, baseline } = evaluator.totals;
        options.logger.write("info", "roll-out advanced", {
            service,
            version,
            state,
            step,
            reason,
            verdict: evaluator.verdict,
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
