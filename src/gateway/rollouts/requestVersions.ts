import type { Random } from "../../base/random.js";
import { mixHashes } from "../../base/hash.js";
import type { Target } from "../target.js";
import type { TargetDirectory } from "../targetDirectory.js";
import type { ServiceRollout } from "./serviceRollout.js";

/** What a {@link RequestVersions} goes by. */
export interface VersionSource {
    readonly directory: Pick<TargetDirectory, "listOpen" | "listAll">;
    readonly random: Random;
    /** Undefined: no order names the service. */
    findRollout(service: string): ServiceRollout | undefined;
    computeCapacityRatio(rollout: ServiceRollout): number;
}

/** Hash that ranks targets of a new version; a constant of its own, so that the ranking is no other decision's. */
const rankingSeed = 0x726f6c6c;

/** Which versions of a service one request may go to; chosen once, so that a version gets a request or does not. */
export class RequestVersions {
    private readonly rollout: ServiceRollout | undefined;
    private isCandidate = false;
    private isSent = false;
    private candidates: ReadonlySet<Target> = new Set();
    private onlyVersion: boolean | undefined;
    private openCandidate: boolean | undefined;

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
            this.candidates = this.isCandidate ? this.chooseTargets(rollout) : this.candidates;
            if (this.candidates.size === 0) {
                this.chooseBaseline();
            }
        }
    }

    /** Whether the request may still go to another version than the one chosen first. */
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
            return isChosen ? this.candidates.has(target) : this.isOnlyVersion(rollout);
        }
        return isChosen ? this.candidates.size === 0 : true;
    }

    /** Sends the request to the old version in place of the new one, where that is still there. */
    public chooseBaseline(): void {
        if (this.hasFallback) {
            if (!this.isSent) {
                this.rollout?.recordUnsent();
            }
            this.isCandidate = false;
        }
    }

    /** The request goes to a target. */
    public recordSent(): void {
        if (!this.isSent) {
            this.isSent = true;
            this.rollout?.recordRequest();
        }
    }

    /** A version that is not known to be bad is better than none, where no target of another one is left. */
    private isOnlyVersion(rollout: ServiceRollout): boolean {
        this.onlyVersion ??= rollout.isOnlyVersion(this.source.directory.listAll());
        return this.onlyVersion;
    }

    /** The old targets stop when the roll-out is complete; one that is still listed is only tried where there is no other. */
    private hasOpenCandidate(rollout: ServiceRollout): boolean {
        this.openCandidate ??= this.source.directory
            .listOpen(rollout.order.service)
            .some(target => rollout.isCandidate(target));
        return this.openCandidate;
    }

    /** The same targets at all routers, so that those that get requests get them from all. */
    private chooseTargets(rollout: ServiceRollout): ReadonlySet<Target> {
        const open = this.source.directory
            .listOpen(rollout.order.service)
            .filter(target => rollout.isCandidate(target))
            .map(target => ({ target, rank: mixHashes(rankingSeed, target.idHash) }))
            .sort((a, b) => a.rank - b.rank);
        const count = Math.max(1, Math.ceil(open.length * rollout.targetShare));
        return new Set(open.slice(0, count).map(({ target }) => target));
    }
}
