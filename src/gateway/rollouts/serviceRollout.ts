import type { Clock } from "../../base/clock.js";
import { EvidenceCounter, type VersionSample } from "../../decisions/rollouts/versionEvidence.js";
import { ExposureBudget, type ExposureLimit } from "../../decisions/rollouts/exposureBudget.js";
import { rampShare, type RolloutStep } from "../../decisions/rollouts/rolloutPlan.js";
import type { Target } from "../target.js";
import { PendingDisconnects } from "./pendingDisconnects.js";
import type { RolloutOrder, RolloutStatus } from "./rolloutRecords.js";

/** What a target's version is to a roll-out. */
export type VersionRole =
    | "candidate"
    | "baseline"
    /** Named by an earlier order, and not complete. */
    | "rejected";

const stepOrder: readonly RolloutStep[] = ["canary", "watch", "ramp", "switch"];
/** Candidate requests by which one route may be ahead of the route with the fewest. */
const mostRouteLead = 3;
/** Part of the exposure that is used while a version that is shown to be sound is watched. */
const watchShare = 0.35;

/** One service's roll-out as this router knows it. */
export class ServiceRollout {
    private readonly counter = new EvidenceCounter();
    private readonly pendingBreaks = new PendingDisconnects();
    private readonly budget: ExposureBudget;
    private readonly seenAtMs: number;
    private olderByMs = 0;
    private currentStatus: RolloutStatus | undefined;
    private stepSinceMs = 0;
    private withdrawn = false;
    private knownBad = false;

    public constructor(
        public readonly order: RolloutOrder,
        limit: ExposureLimit,
        routerCount: number,
        /** Versions that earlier orders named and that were not complete. */
        private readonly rejectedBefore: readonly string[],
        private readonly clock: Clock,
    ) {
        this.seenAtMs = clock.nowMs();
        this.budget = new ExposureBudget(limit, routerCount);
    }

    /** Undefined until a router has written that it runs; nothing is sent to the version before. */
    public get status(): RolloutStatus | undefined {
        return this.currentStatus;
    }

    public get hasEnded(): boolean {
        return this.currentStatus !== undefined && this.currentStatus.state !== "running";
    }

    /** Since the order, as far as any router knows that reported here; milliseconds. */
    public get ageMs(): number {
        return this.clock.nowMs() - this.seenAtMs + this.olderByMs;
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

    /** A router found the version to be bad: it gets nothing more, also before the store says so. */
    public get isBad(): boolean {
        return this.knownBad;
    }

    public get evidence(): EvidenceCounter["evidence"] {
        return this.counter.evidence;
    }

    public get rejectedVersions(): readonly string[] {
        return [...new Set([...this.rejectedBefore, ...(this.currentStatus?.rejectedVersions ?? [])])];
    }

    /** Versions that a next order has to reject: this one too, unless it is complete. */
    public listRejectedForNext(): readonly string[] {
        return this.currentStatus?.state === "complete"
            ? this.rejectedVersions
            : [...this.rejectedVersions, this.order.version];
    }

    /** Notes how long ago another router first saw the order. */
    public applyAge(ageMs: number): void {
        this.olderByMs += Math.max(0, ageMs - this.ageMs);
    }

    public withdraw(): void {
        this.withdrawn = true;
    }

    public recordBad(): void {
        this.knownBad = true;
    }

    /** Takes what the store holds; false: it is of another version, or behind what is known, as after the store lost its newest records. */
    public applyStatus(status: RolloutStatus): boolean {
        const known = this.currentStatus;
        if (status.version !== this.order.version || (known !== undefined && isBehind(status, known))) {
            return false;
        }
        if (known === undefined) {
            this.applyStart(status);
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

    /** Whether requests may go to the new version because no target of another one is left, and it is not known to be bad. */
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
     * Whether a request on the route is to go to the new version; `point`: uniform in 0 to 1, `getCapacityRatio`: what the new version's
     * targets can take over what the old version's do. True: {@link recordUnsent} must follow if it goes elsewhere.
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

    /** Part of the new version's targets that requests go to: few requests show what a version does under load at few targets. */
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

    public recordRequest(): void {
        this.budget.recordRequest(this.step === "watch" ? watchShare : 1);
    }

    /** The request that was to go to the new version went elsewhere. */
    public recordUnsent(): void {
        if (this.step === "canary" || this.step === "watch") {
            this.budget.recordUnsent();
        }
    }

    public observe(sample: VersionSample): void {
        if (this.currentStatus?.state === "running") {
            this.counter.observe(sample);
        }
    }

    /** Tells requests that a target of the new version broke off from those that ended with it. */
    public observeDisconnect(send: { target: Target; route: string; sentAtMs: number }, isBroken: boolean): void {
        if (isBroken) {
            this.pendingBreaks.record(send.target, send.route, this.clock.nowMs());
            return;
        }
        for (const route of this.pendingBreaks.takeSurvived(send.target, send.sentAtMs)) {
            this.counter.recordDisconnectFailures(route, 1);
        }
    }

    /** Routes with few candidate requests first, so that each is seen. */
    private takeSample(route: string): boolean {
        if (!this.budget.hasCapacity) {
            return false;
        }
        const { routes } = this.counter.evidence;
        const own = routes.find(other => other.route === route)?.candidate.requests ?? 0;
        const fewest = routes.reduce((least, other) => Math.min(least, other.candidate.requests), own);
        if (own - fewest > mostRouteLead && !this.budget.isFull) {
            return false;
        }
        this.budget.recordExposed();
        return true;
    }

    /** Where this router joins a roll-out that runs, the time of its start is all there is to tell its age. */
    private applyStart({ startedAt }: RolloutStatus): void {
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
