import type { VersionCoverage } from "./versionRecord.js";

/** The versions of a service's targets within a period, as far as one router has seen them. */
export type SeenVersions =
    /** There was only one. */
    | { readonly kind: "sole"; readonly version: string }
    /** There was only one until the router's view of the targets became out of date. Only another router reports that. */
    | { readonly kind: "outdated"; readonly version: string }
    /** There were several, or no target at all. */
    | { readonly kind: "mixed" }
    /** The router has not observed the whole period. */
    | { readonly kind: "incomplete" };

/** A version of a service's targets with its last observation. */
export interface ObservedVersion {
    readonly version: string;
    /** Undefined while there are targets of the version; milliseconds. */
    readonly lastSeenAtMs: number | undefined;
}

interface SeenVersion {
    targets: number;
    lastSeenAtMs: number;
}

/** Tracks which versions the targets of each service have, and for how long a version without targets has been gone. */
export class VersionHistory {
    private readonly byService = new Map<string, Map<string, SeenVersion>>();
    /** Start of the covered time of services whose record was read; milliseconds. */
    private readonly coveredFrom = new Map<string, number>();

    /** `observedFromMs`: since when the targets have been observed. */
    public constructor(private observedFromMs: number) {}

    public addTarget(service: string, version: string): void {
        const seen = this.findOrCreate(service, version);
        seen.targets += 1;
    }

    public removeTarget(service: string, version: string, nowMs: number): void {
        const seen = this.byService.get(service)?.get(version);
        if (seen !== undefined) {
            seen.targets -= 1;
            seen.lastSeenAtMs = nowMs;
        }
    }

    /** Adds what was recorded of a service before this router started. */
    public applyCoverage(service: string, { coveredFromMs, versions }: VersionCoverage): void {
        this.coveredFrom.set(service, coveredFromMs);
        for (const { version, lastSeenAtMs } of versions) {
            const seen = this.findOrCreate(service, version);
            seen.lastSeenAtMs = Math.max(seen.lastSeenAtMs, lastSeenAtMs);
        }
    }

    /** Records that no router served any service before this one started. */
    public applyFirstStart(): void {
        this.observedFromMs = Number.NEGATIVE_INFINITY;
    }

    /** All known versions of the service. */
    public listObserved(service: string): readonly ObservedVersion[] {
        return [...(this.byService.get(service) ?? [])].map(([version, { targets, lastSeenAtMs }]) => ({
            version,
            lastSeenAtMs: targets > 0 ? undefined : lastSeenAtMs,
        }));
    }

    /** Services of which any version is known. */
    public listServices(): readonly string[] {
        return [...this.byService.keys()];
    }

    /** Start of the time for which all versions of the service that a router saw are known; milliseconds. */
    public computeCoveredFromMs(service: string): number {
        return Math.min(this.observedFromMs, this.coveredFrom.get(service) ?? Number.POSITIVE_INFINITY);
    }

    /** Versions that targets of the service have now. */
    public listCurrent(service: string): readonly string[] {
        return [...(this.byService.get(service) ?? [])].filter(([, { targets }]) => targets > 0).map(([name]) => name);
    }

    /** Versions known of the service's targets within the last `periodMs`, whether or not the whole period was observed. */
    public listSeen(service: string, periodMs: number, nowMs: number): readonly string[] {
        const fromMs = nowMs - periodMs;
        return [...(this.byService.get(service) ?? [])]
            .filter(([, { targets, lastSeenAtMs }]) => targets > 0 || lastSeenAtMs >= fromMs)
            .map(([name]) => name);
    }

    /** Versions of the service's targets within the last `periodMs`. */
    public findSeen(service: string, periodMs: number, nowMs: number): SeenVersions {
        const versions = this.listSeen(service, periodMs, nowMs);
        if (versions.length > 1) {
            return { kind: "mixed" };
        }
        if (nowMs - periodMs < this.computeCoveredFromMs(service)) {
            return { kind: "incomplete" };
        }
        return versions.length === 1 ? { kind: "sole", version: versions[0] } : { kind: "mixed" };
    }

    /** Whether it is certain that the service had no target within the last `periodMs`. */
    public isUnused(service: string, periodMs: number, nowMs: number): boolean {
        return (
            nowMs - periodMs >= this.computeCoveredFromMs(service) &&
            this.listSeen(service, periodMs, nowMs).length === 0
        );
    }

    private findOrCreate(service: string, version: string): SeenVersion {
        const versions = this.byService.get(service) ?? new Map<string, SeenVersion>();
        this.byService.set(service, versions);
        const seen = versions.get(version) ?? { targets: 0, lastSeenAtMs: Number.NEGATIVE_INFINITY };
        versions.set(version, seen);
        return seen;
    }
}
