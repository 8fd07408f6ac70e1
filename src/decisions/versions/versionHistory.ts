/** The versions of a service's targets within a period, as far as one router has seen them. */
export type SeenVersions =
    /** There was only one. */
    | { readonly kind: "sole"; readonly version: string }
    /** There were several, or no target at all. */
    | { readonly kind: "mixed" }
    /** The router has not observed the whole period. */
    | { readonly kind: "incomplete" };

interface SeenVersion {
    targets: number;
    lastSeenAtMs: number;
}

/** Tracks which versions the targets of each service have, and for how long a version without targets has been gone. */
export class VersionHistory {
    private readonly byService = new Map<string, Map<string, SeenVersion>>();

    /** `startedAtMs`: since when the targets have been observed. */
    public constructor(private readonly startedAtMs: number) {}

    public addTarget(service: string, version: string): void {
        const versions = this.byService.get(service) ?? new Map<string, SeenVersion>();
        this.byService.set(service, versions);
        const seen = versions.get(version) ?? { targets: 0, lastSeenAtMs: Number.NEGATIVE_INFINITY };
        versions.set(version, { ...seen, targets: seen.targets + 1 });
    }

    public removeTarget(service: string, version: string, nowMs: number): void {
        const seen = this.byService.get(service)?.get(version);
        if (seen !== undefined) {
            seen.targets -= 1;
            seen.lastSeenAtMs = nowMs;
        }
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
        const fromMs = nowMs - periodMs;
        const versions = this.listSeen(service, periodMs, nowMs);
        if (versions.length > 1) {
            return { kind: "mixed" };
        }
        if (fromMs < this.startedAtMs) {
            return { kind: "incomplete" };
        }
        return versions.length === 1 ? { kind: "sole", version: versions[0] } : { kind: "mixed" };
    }

    /** Whether it is certain that the service had no target within the last `periodMs`. */
    public isUnused(service: string, periodMs: number, nowMs: number): boolean {
        return nowMs - periodMs >= this.startedAtMs && this.listSeen(service, periodMs, nowMs).length === 0;
    }
}
