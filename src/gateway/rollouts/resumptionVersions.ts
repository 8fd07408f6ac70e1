import type { Target } from "../target.js";
import type { VersionSource } from "./requestVersions.js";
import type { VersionSelection } from "./versionSelection.js";

/** Restricts which version of a service's targets may write the rest of a stream. */
export type StreamVersionFilter = (target: Target) => boolean;

/**
 * The versions that a begun stream may be resumed at: the one that began it. A roll-out may forbid it, as a rejected version gets no
 * requests, and limits how many a version gets that is not known to be sound.
 */
export class ResumptionVersions implements VersionSelection {
    public readonly hasFallback = false;

    public constructor(
        private readonly source: Pick<VersionSource, "findRollout">,
        private readonly isStreamVersion: StreamVersionFilter,
    ) {}

    public isAllowed(target: Target): boolean {
        if (!this.isStreamVersion(target)) {
            return false;
        }
        const { service, version } = target.entry;
        return this.source.findRollout(service)?.canResume(version) ?? true;
    }

    public chooseBaseline(): void {
        // The stream has no choice.
    }

    public recordSent(target: Target): void {
        this.source.findRollout(target.entry.service)?.recordResumption(target.entry.version);
    }
}
