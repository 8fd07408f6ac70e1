import type { Random } from "../../base/random.js";
import { mixHashes } from "../../base/hash.js";
import type { Target } from "../target.js";
import type { TargetDirectory } from "../targetDirectory.js";
import type { ServiceRollout } from "./serviceRollout.js";
import type { VersionSelection } from "./versionSelection.js";

/** What a {@link RequestVersions} depends on. */
export interface VersionSource {
    readonly directory: Pick<TargetDirectory, "listOpen" | "listAll">;
    readonly random: Random;
    /** Undefined if there is no roll-out order for the service. */
    findRollout(service: string): ServiceRollout | undefined;
    computeCapacityRatio(rollout: ServiceRollout): number;
}

/** Seed of the hash that ranks targets of the candidate version; unique, so that the ranking does not correlate with other decisions. */
const rankingSeed = 0x726f6c6c;

/** Selects the versions of a service that one request may be sent to; selected once per request, so that all its attempts agree. */
export class RequestVersions implements VersionSelection {
    private readonly rollout: ServiceRollout | undefined;
    private isCandidate = false;
    private isSent = false;
    private candidateTargets: ReadonlySet<Target> = new Set();
    private onlyVersionCache: boolean | undefined;
    private openCandidateCache: boolean | undefined;

    public constructor(
        private readonly source: VersionSource,
        private readonly service: string | undefined,
        route: string,
    ) {
        this.rollout = service === undefined ? undefined : source.findRollout(service);
        const { rollout } = this;
        if (rollout !== undefined && !rollout.hasEnded) {
            this.isCandidate = rollout.takeCandidate(route, source.random.next(), () =>
                source.computeCapacityRatio(rollout),
            );
            this.candidateTargets = this.isCandidate ? this.chooseTargets(rollout) : this.candidateTargets;
            if (this.candidateTargets.size === 0) {
                this.chooseBaseline();
            }
        }
    }

    /** Whether the candidate version is selected and the request can still fall back to the baseline. */
    public get hasFallback(): boolean {
        return this.isCandidate;
    }

    public isAllowed(target: Target): boolean {
        const rollout = this.source.findRollout(target.entry.service);
        if (rollout === undefined) {
            return true;
        }
        const role = rollout.findRole(target.entry.version);
        if (role === "rejected") {
            return false;
        }
        if (rollout.status?.state === "complete") {
            return role === "candidate" || !this.hasOpenCandidate(rollout);
        }
        const isChosen = this.isCandidate && target.entry.service === this.service;
        if (role === "candidate") {
            return isChosen ? this.candidateTargets.has(target) : this.isOnlyVersion(rollout);
        }
        return isChosen ? this.candidateTargets.size === 0 : true;
    }

    /** Selects the baseline version instead of the candidate, if the candidate is selected. */
    public chooseBaseline(): void {
        if (this.hasFallback) {
            if (!this.isSent) {
                this.rollout?.recordUnsent();
            }
            this.isCandidate = false;
        }
    }

    /** Records that the request is sent to a target; only the first call counts. */
    public recordSent(): void {
        if (!this.isSent) {
            this.isSent = true;
            this.rollout?.recordRequest();
        }
    }

    /** If no target of another version remains, a version that is not known to be bad is better than none. */
    private isOnlyVersion(rollout: ServiceRollout): boolean {
        this.onlyVersionCache ??= rollout.isOnlyVersion(this.source.directory.listAll());
        return this.onlyVersionCache;
    }

    /** Baseline targets stop when the roll-out is complete; one that is still listed is used only if no candidate target is open. */
    private hasOpenCandidate(rollout: ServiceRollout): boolean {
        this.openCandidateCache ??= this.source.directory
            .listOpen(rollout.order.service)
            .some(target => rollout.isCandidate(target));
        return this.openCandidateCache;
    }

    /** Selects the same targets at all routers, so that these targets see the load of the whole fleet. */
    private chooseTargets(rollout: ServiceRollout): ReadonlySet<Target> {
        const openTargets = this.source.directory
            .listOpen(rollout.order.service)
            .filter(target => rollout.isCandidate(target))
            .map(target => ({ target, rank: mixHashes(rankingSeed, target.idHash) }))
            .sort((a, b) => a.rank - b.rank);
        const count = Math.max(1, Math.ceil(openTargets.length * rollout.targetShare));
        return new Set(openTargets.slice(0, count).map(({ target }) => target));
    }
}
