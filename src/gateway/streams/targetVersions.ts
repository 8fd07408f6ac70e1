import type { Clock } from "../../base/clock.js";
import { Emitter } from "../../base/event.js";
import type { Disposable } from "../../base/lifecycle.js";
import { VersionHistory, type ObservedVersion, type SeenVersions } from "../../decisions/versions/versionHistory.js";
import type { VersionCoverage } from "../../decisions/versions/versionRecord.js";
import type { TargetEntry } from "../fleetSource.js";

/** The software versions of the registered targets, and those of targets that are gone. */
export class TargetVersions implements Disposable {
    private readonly history: VersionHistory;
    private readonly addEmitter = new Emitter<string>();
    private readonly removeEmitter = new Emitter<string>();
    private readonly loadEmitter = new Emitter<void>();
    private isLoaded = false;

    /** Fires with the name of a service that has a target of a version that no other target of it has. */
    public readonly onDidAdd = this.addEmitter.onDidFire;

    /** Fires with the name of a service when the last target of a version leaves. */
    public readonly onDidRemove = this.removeEmitter.onDidFire;
    /** Fires when the versions of the time before this router's start have been read. */
    public readonly onDidLoadHistory = this.loadEmitter.onDidFire;

    public constructor(private readonly clock: Clock) {
        this.history = new VersionHistory(clock.nowMs());
    }

    public add({ service, version = "" }: TargetEntry): void {
        const isNew = !this.history.listCurrent(service).includes(version);
        this.history.addTarget(service, version);
        if (isNew) {
            this.addEmitter.fire(service);
        }
    }

    public remove({ service, version = "" }: TargetEntry): void {
        this.history.removeTarget(service, version, this.clock.nowMs());
        if (!this.history.listCurrent(service).includes(version)) {
            this.removeEmitter.fire(service);
        }
    }

    /** Whether the versions of the time before this router's start have been read. */
    public get hasHistory(): boolean {
        return this.isLoaded;
    }

    /** Adds the versions of the time before this router's start. `isFirst`: no router had run before. */
    public applyHistory(
        recorded: readonly { readonly service: string; readonly coverage: VersionCoverage }[],
        isFirst: boolean,
    ): void {
        recorded.forEach(({ service, coverage }) => this.history.applyCoverage(service, coverage));
        if (isFirst) {
            this.history.applyFirstStart();
        }
        this.isLoaded = true;
        this.loadEmitter.fire();
    }

    /** All known versions of the service. */
    public listObserved(service: string): readonly ObservedVersion[] {
        return this.history.listObserved(service);
    }

    /** Services of which any version is known. */
    public listServices(): readonly string[] {
        return this.history.listServices();
    }

    /** Start of the time for which all versions of the service that a router saw are known; milliseconds. */
    public computeCoveredFromMs(service: string): number {
        return this.history.computeCoveredFromMs(service);
    }

    /** Applies a newer record of a target, which may have restarted at another version. */
    public update(before: TargetEntry, after: TargetEntry): void {
        if (before.version !== after.version) {
            this.remove(before);
            this.add(after);
        }
    }

    /** Versions that targets of the service have now; a target without a version counts as one with an empty name. */
    public listCurrent(service: string): readonly string[] {
        return this.history.listCurrent(service);
    }

    /** Versions known of the service's targets within the last `periodMs`, whether or not the whole period was observed. */
    public listSeen(service: string, periodMs: number): readonly string[] {
        return this.history.listSeen(service, periodMs, this.clock.nowMs());
    }

    /** Versions of the service's targets within the last `periodMs`. */
    public findSeen(service: string, periodMs: number): SeenVersions {
        return this.history.findSeen(service, periodMs, this.clock.nowMs());
    }

    /** Whether it is certain that the service had no target within the last `periodMs`. */
    public isUnused(service: string, periodMs: number): boolean {
        return this.history.isUnused(service, periodMs, this.clock.nowMs());
    }

    public dispose(): void {
        this.addEmitter.dispose();
        this.removeEmitter.dispose();
        this.loadEmitter.dispose();
    }
}
