import type { Clock } from "../../base/clock.js";
import { EvidenceCounter, type VersionSample } from "../../decisions/rollouts/versionEvidence.js";
import { ExposureBudget, type ExposureLimit } from "../../decisions/rollouts/exposureBudget.js";
import { rampShare, type RolloutStep } from "../../decisions/rollouts/rolloutPlan.js";
import type { Target } from "../target.js";
import { PendingDisconnects } from "./pendingDisconnects.js";
import type { RolloutOrder, RolloutStatus } from "./rolloutRecords.js";

/** Role of a target's version in a roll-out. */
export type VersionRole =
    | "candidate"
    | "baseline"
    /** Named by an earlier order whose roll-out was not completed. */
    | "rejected";

const stepOrder: readonly RolloutStep[] = ["canary", "watch", "ramp", "switch"];
/** Maximum number of candidate requests by which a route may be ahead of the route with the fewest. */
const maxRouteLead = 3;
/** Share of the exposure budget used in the `watch` step, after the evidence has shown the version to be sound. */
const watchExposureShare = 0.35;

/** This router's state of one service's roll-out. */
export class ServiceRollout {
    private readonly counter = new EvidenceCounter();
    private readonly pendingDisconnects = new PendingDisconnects();
    private readonly budget: ExposureBudget;
    private readonly firstSeenAtMs: number;
    private ageOffsetMs = 0;
    private currentStatus: RolloutStatus | undefined;
    private stepSinceMs = 0;
    private withdrawn = false;
    private knownBad = false;

    public constructor(
        public readonly order: RolloutOrder,
        limit: ExposureLimit,
        routerCount: number,
        /** Versions from earlier orders whose roll-outs were not completed. */
        private readonly previouslyRejected: readonly string[],
        private readonly clock: Clock,
    ) {
        this.firstSeenAtMs = clock.nowMs();
        this.budget = new ExposureBudget(limit, routerCount);
    }

    /** Undefined until a router has written the first status; until then the version receives no requests. */
    public get status(): RolloutStatus | undefined {
        return this.currentStatus;
    }

    public get hasEnded(): boolean {
        return this.currentStatus !== undefined && this.currentStatus.state !== "running";
    }

    /** Time since this router or any router that reported to it first saw the order; milliseconds. */
    public get ageMs(): number {
        return this.clock.nowMs() - this.firstSeenAtMs + this.ageOffsetMs;
    }

    public get stepAgeMs(): number {
        return this.clock.nowMs() - this.stepSinceMs;
    }

    public get step(): RolloutStep {
        return this.currentStatus?.step ?? "canary";
    }

    public get isWithdrawn(): boolean {
        return this.withdrawn;
    }

    /** Whether a router has classified the version as bad; it then receives no more requests, even before the store holds the roll-back. */
    public get isBad(): boolean {
        return this.knownBad;
    }

    public get evidence(): EvidenceCounter["evidence"] {
        return this.counter.evidence;
    }

    public get rejectedVersions(): readonly string[] {
        return [...new Set([...this.previouslyRejected, ...(this.currentStatus?.rejectedVersions ?? [])])];
    }

    /** Versions that the next order must reject; includes this order's version unless its roll-out is complete. */
    public listRejectedForNext(): readonly string[] {
        return this.currentStatus?.state === "complete"
            ? this.rejectedVersions
            : [...this.rejectedVersions, this.order.version];
    }

    /** Raises the order's age to that reported by another router; milliseconds. */
    public applyAge(ageMs: number): void {
        this.ageOffsetMs += Math.max(0, ageMs - this.ageMs);
    }

    public withdraw(): void {
        this.withdrawn = true;
    }

    public recordBad(): void {
        this.knownBad = true;
    }

    /**
     * Applies a stored status. False if it belongs to another version, or is behind the current status because the store lost its newest
     * records.
     */
    public applyStatus(status: RolloutStatus): boolean {
        const known = this.currentStatus;
        if (status.version !== this.order.version || (known !== undefined && isBehind(status, known))) {
            return false;
        }
        if (known === undefined) {
            this.applyStartTime(status);
        }
        if (known?.step !== status.step || known.state !== status.state) {
            this.stepSinceMs = this.clock.nowMs();
        }
        this.currentStatus = status;
        return true;
    }

    public findRole(version: string | undefined): VersionRole {
        if (version === this.order.version) {
            return "candidate";
        }
        return version !== undefined && this.rejectedVersions.includes(version) ? "rejected" : "baseline";
    }

    /** Whether requests may go to the candidate because no target of another version remains and the candidate is not known to be bad. */
    public isOnlyVersion(targets: readonly Target[]): boolean {
        if (this.knownBad || this.currentStatus?.state === "rolled-back") {
            return false;
        }
        const own = targets.filter(({ entry }) => entry.service === this.order.service);
        return own.every(target => this.isCandidate(target));
    }

    public isCandidate({ entry }: Target): boolean {
        return this.findRole(entry.version) === "candidate";
    }

    /**
     * Whether a request on the route is to be sent to the candidate version. `point` is a uniform random number in 0 to 1,
     * `getCapacityRatio` returns the capacity of the candidate's targets divided by that of the baseline's targets.
     * If it returns true and the request is sent elsewhere, the caller must call {@link recordUnsent}.
     */
    public takeCandidate(route: string, point: number, getCapacityRatio: () => number): boolean {
        if (this.currentStatus?.state !== "running" || this.knownBad || this.withdrawn) {
            return false;
        }
        switch (this.step) {
            case "canary":
            case "watch":
                return this.takeSample(route);
            case "ramp":
                return point < Math.min(rampShare, getCapacityRatio());
            case "switch":
                return point < getCapacityRatio();
        }
    }

    /** Whether the candidate receives single requests within the exposure budget. */
    private get isSampled(): boolean {
        return !this.hasEnded && (this.step === "canary" || this.step === "watch");
    }

    /** Share of the candidate's targets that receive requests: few requests put a real load only on few targets. */
    public get targetShare(): number {
        switch (this.step) {
            case "canary":
            case "watch":
                return 0;
            case "ramp":
                return rampShare;
            case "switch":
                return 1;
        }
    }

    /** Credits the exposure budget with a share of a request that is sent to a target of any version. */
    public recordRequest(): void {
        this.budget.recordRequest(this.step === "watch" ? watchExposureShare : 1);
    }

    /** Refunds the exposure of a request that was selected for the candidate but sent elsewhere. */
    public recordUnsent(): void {
        if (this.isSampled) {
            this.budget.recordUnsent();
        }
    }

    /** Whether a stream that this version began may be resumed at a target of it. */
    public canResume(version: string | undefined): boolean {
        switch (this.findRole(version)) {
            case "rejected":
                return false;
            case "baseline":
                return true;
            case "candidate":
                return (
                    !this.knownBad &&
                    this.status?.state !== "rolled-back" &&
                    (this.isSampled ? this.budget.hasCapacity : true)
                );
        }
    }

    /** Counts a resumed stream that is sent to a target of this version. */
    public recordResumption(version: string | undefined): void {
        if (this.findRole(version) === "candidate" && this.isSampled) {
            this.budget.recordExposed();
        }
    }

    public observe(sample: VersionSample): void {
        if (this.currentStatus?.state === "running") {
            this.counter.observe(sample);
        }
    }

    /**
     * Tracks disconnects by a candidate target. Once the target responds to a request that was sent later, they count as failures of
     * single requests; until then the target may have crashed.
     */
    public observeDisconnect(
        attempt: { target: Target; route: string; sentAtMs: number },
        isDisconnected: boolean,
    ): void {
        if (isDisconnected) {
            this.pendingDisconnects.record(attempt.target, attempt.route, this.clock.nowMs());
            return;
        }
        for (const route of this.pendingDisconnects.takeSurvived(attempt.target, attempt.sentAtMs)) {
            this.counter.recordDisconnectFailures(route, 1);
        }
    }

    /** Prefers routes with few candidate requests, so that every route gets evidence. */
    private takeSample(route: string): boolean {
        if (!this.budget.hasCapacity) {
            return false;
        }
        const { routes } = this.counter.evidence;
        const own = routes.find(other => other.route === route)?.candidate.requests ?? 0;
        const fewest = routes.reduce((lowest, other) => Math.min(lowest, other.candidate.requests), own);
        if (own - fewest > maxRouteLead && !this.budget.isFull) {
            return false;
        }
        this.budget.recordExposed();
        return true;
    }

    /** A router that joins a running roll-out can derive the roll-out's age only from the stored start time. */
    private applyStartTime({ startedAt }: RolloutStatus): void {
        const ageMs = this.clock.nowDate().getTime() - startedAt.getTime();
        if (ageMs <= this.order.durationMs) {
            this.applyAge(ageMs);
        }
    }
}

function isBehind(status: RolloutStatus, known: RolloutStatus): boolean {
    if (known.state !== "running") {
        return status.state !== known.state;
    }
    return status.state === "running" && stepOrder.indexOf(status.step) < stepOrder.indexOf(known.step);
}
