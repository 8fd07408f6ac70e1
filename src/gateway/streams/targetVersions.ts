import type { Clock } from "../../base/clock.js";
import { Emitter } from "../../base/event.js";
import type { Disposable } from "../../base/lifecycle.js";
import { VersionHistory, type SeenVersions } from "../../decisions/versions/versionHistory.js";
import type { TargetEntry } from "../fleetSource.js";

/** The software versions of the registered targets, and those of targets that are gone. */
export class TargetVersions implements Disposable {
    private readonly history: VersionHistory;
    private readonly addEmitter = new Emitter<string>();

    /** Fires with the name of a service that has a target of a version that no other target of it has. */
    public readonly onDidAdd = this.addEmitter.onDidFire;

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
    }
}
