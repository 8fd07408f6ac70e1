import type { Clock } from "../base/clock.js";
import type { Event } from "../base/event.js";
import { hashFast } from "../base/hash.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Logger } from "../base/log.js";
import type { Random } from "../base/random.js";
import { AvailabilityRegistry } from "../decisions/health/availabilityRegistry.js";
import type { RecordExpiryPolicy } from "../decisions/health/recordExpiryPolicy.js";
import { ServiceSpeeds } from "../decisions/placement/engineSpeed.js";
import type { TargetAvailability } from "../decisions/health/targetAvailability.js";
import type { GatewayConfiguration, ServiceConfiguration } from "./configuration.js";
import type { FleetChange, TargetEntry } from "./fleetSource.js";
import { LazyMap } from "./lazyMap.js";
import type { LeavingTarget } from "./peers/peerMessage.js";
import { RecordRemovalTracker } from "./recordRemovalTracker.js";
import { TargetVersions } from "./streams/targetVersions.js";
import { Target } from "./target.js";
import type { ConnectionLimits } from "./targetConnection.js";
import { TargetSignalRecorder, type ReceivedSignal } from "./targetSignalRecorder.js";
import type { ResponseHead, TargetSignals } from "./wire.js";

/** Why a target may not receive new requests. */
export type ClosedReason = "leaving" | "pausing" | "removed" | "data-centre-out";

/** Options of a {@link TargetDirectory}. */
export interface TargetDirectoryOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly connectionLimits: ConnectionLimits;
    readonly expiryPolicy: RecordExpiryPolicy;
}

/** Holds the registered targets and decides which of them may receive requests. */
export class TargetDirectory implements Disposable {
    private readonly targets = new Map<string, Target>();
    private readonly byService = new Map<string, Target[]>();
    private readonly byHash = new Map<number, Target>();
    private readonly recordRemovals: RecordRemovalTracker;
    private readonly dataCentresOut = new Set<string>();
    private readonly availabilities = new AvailabilityRegistry();
    private readonly signals: TargetSignalRecorder;
    private readonly speeds = new LazyMap(() => new ServiceSpeeds());
    private services: ReadonlyMap<string, ServiceConfiguration> = new Map();
    /** Versions of each service's targets, and those of targets that are gone. */
    public readonly versions: TargetVersions;

    public constructor(private readonly options: TargetDirectoryOptions) {
        this.signals = new TargetSignalRecorder(options);
        this.versions = new TargetVersions(options.clock);
        this.recordRemovals = new RecordRemovalTracker(options, id => this.remove(id));
    }

    /** Fires for each signal in a response of a target. */
    public get onDidReceiveSignal(): Event<ReceivedSignal> {
        return this.signals.onDidReceiveSignal;
    }

    /** Applies the services of a new configuration. */
    public applyConfiguration(configuration: GatewayConfiguration): void {
        this.services = new Map(configuration.services.map(service => [service.name, service]));
        for (const target of this.targets.values()) {
            target.applyService(this.services.get(target.entry.service));
        }
    }

    /** Applies a change of a target's registration or of a data centre. */
    public applyChange(change: FleetChange): void {
        if (change.kind === "target") {
            this.applyEntry(change.id, change.entry, change.mayBeOutdated === true);
        } else if (change.kind === "data-centre") {
            this.applyDataCentre(change.dataCentre, change.isOut);
        }
    }

    public findService(name: string): ServiceConfiguration | undefined {
        return this.services.get(name);
    }

    public find(id: string): Target | undefined {
        return this.targets.get(id);
    }

    /** Finds a target by the 32-bit hash of its id, by which peers identify it. Targets with the same hash would share estimates. */
    public findByHash(idHash: number): Target | undefined {
        return this.byHash.get(idHash);
    }

    public listAll(): readonly Target[] {
        return [...this.targets.values()];
    }

    public listDataCentresOut(): readonly string[] {
        return [...this.dataCentresOut];
    }

    /** Targets of a service that may receive new requests: not leaving, pausing or removed, and in a data centre that is in service. */
    public listOpen(service: string): readonly Target[] {
        const nowMs = this.options.clock.nowMs();
        return (this.byService.get(service) ?? []).filter(target => this.findClosedReason(target, nowMs) === undefined);
    }

    /** Whether the target is registered and may receive new requests. */
    public isOpen(target: Target): boolean {
        const nowMs = this.options.clock.nowMs();
        return this.targets.get(target.id) === target && this.findClosedReason(target, nowMs) === undefined;
    }

    /** Why a registered target may not receive new requests; undefined if it may. */
    public findClosedReason(target: Target, nowMs: number): ClosedReason | undefined {
        const isOut = this.dataCentresOut.has(target.dataCentre);
        const reason = isRemoved(target, nowMs) ? "removed" : isOut ? "data-centre-out" : undefined;
        return target.availability.findRefusalReason(nowMs) ?? reason;
    }

    /** Whether the target must not receive even an already assigned request: it is leaving, removed, pausing or out of service. */
    public isClosed(target: Target): boolean {
        const nowMs = this.options.clock.nowMs();
        return (
            this.targets.get(target.id) !== target ||
            isRemoved(target, nowMs) ||
            target.availability.isClosed(nowMs) ||
            this.dataCentresOut.has(target.dataCentre)
        );
    }

    /** Milliseconds until the first target of a service accepts requests again, if all that are not leaving pause; else undefined. */
    public computePauseMs(service: string): number | undefined {
        const nowMs = this.options.clock.nowMs();
        const pauses = (this.byService.get(service) ?? [])
            .filter(({ availability, dataCentre }) => {
                return availability.leaving === undefined && !this.dataCentresOut.has(dataCentre);
            })
            .map(({ availability }) => availability.pause.computeRemainingMs(nowMs));
        return pauses.length === 0 || pauses.includes(0) ? undefined : Math.min(...pauses);
    }

    /** Leaving targets, whatever the evidence is, so that a router that starts later receives them from any of its peers. */
    public listLeaving(): readonly LeavingTarget[] {
        return [...this.targets.values()]
            .filter(({ availability }) => availability.leaving !== undefined)
            .flatMap(({ incarnation: { idHash, startedAtMs } }) =>
                startedAtMs === undefined ? [] : [{ targetHash: idHash, startedAtMs }],
            );
    }

    /** Records leaving targets that a peer reported, including targets whose records this router has not read yet. */
    public applyLeaving(leaving: readonly LeavingTarget[]): void {
        for (const { targetHash, startedAtMs } of leaving) {
            const availability = this.availabilities.find({ idHash: targetHash, startedAtMs });
            this.signals.recordLeaving(availability, this.byHash.get(targetHash)?.id, "peer");
        }
    }

    /**
     * Records the signals in a target's response to one of this router's requests. `availability` belongs to the incarnation that the
     * request was sent to: the target may have restarted since, and the signals don't apply to the new incarnation.
     */
    public observeResponse(target: Target, availability: TargetAvailability, head: ResponseHead): void {
        // The address now belongs to another target, so the signals are not this target's.
        if (head.isOtherTarget) {
            return;
        }
        this.observeSignals(target, availability, head);
        if (head.pause.kind === "none" && !head.isNotExecuted) {
            availability.pause.recordResponse();
        }
    }

    /** Records the signals of an incarnation of a target, sent with any response: whether it accepts requests, and its load. */
    public observeSignals(target: Target, availability: TargetAvailability, signals: TargetSignals): void {
        this.signals.observe(target, availability, signals);
    }

    /** Whether an engine of the service has reported how long work takes, so that each engine's speed is estimated. */
    public hasSpeedReports(service: string): boolean {
        return this.speeds.getOrCreate(service).hasReports;
    }

    /** Removes a target whose address now belongs to another target, whatever the state of its entry. */
    public removeReassigned(target: Target): void {
        this.options.logger.write("info", "target removed: its address belongs to another target", {
            target: target.id,
        });
        this.remove(target.id);
    }

    public dispose(): void {
        this.signals.dispose();
        this.versions.dispose();
        this.recordRemovals.dispose();
        for (const target of this.targets.values()) {
            target.dispose();
        }
        this.targets.clear();
        this.byService.clear();
    }

    private applyEntry(id: string, entry: TargetEntry | undefined, mayBeOutdated: boolean): void {
        // An outdated record would revert a restarted target to its earlier incarnation and discard its current state.
        if (entry !== undefined && !this.recordStart(entry, mayBeOutdated)) {
            this.options.logger.write("info", "target record of an earlier start ignored", { target: id });
            return;
        }
        const existing = this.targets.get(id);
        if (entry === undefined) {
            if (existing !== undefined && !this.recordRemovals.handleRemoval(existing)) {
                this.remove(id);
            }
            return;
        }
        if (
            existing === undefined ||
            existing.entry.address !== entry.address ||
            existing.entry.service !== entry.service
        ) {
            this.remove(id);
            this.addTarget(entry);
            return;
        }
        // A target may restart under the same id. Its cache is then empty and it is cold, even if its entry doesn't report that yet;
        // only the start time reveals the restart.
        if (existing.entry.startedAtMs !== entry.startedAtMs) {
            this.options.logger.write("info", "target restarted", { target: id });
            existing.clearParts();
            existing.connections.closeIdle();
            existing.incarnationSeenAtMs = this.options.clock.nowMs();
            this.setCold(existing, this.services.get(entry.service)?.coldStartMs ?? 0);
        }
        this.versions.update(existing.entry, entry);
        existing.applyEntry(entry);
        this.recordRemovals.clear(existing);
        this.setCold(existing, entry.coldLeftMs);
        this.observeRecord(existing);
    }

    private recordStart({ id, startedAtMs }: TargetEntry, mayBeOutdated: boolean): boolean {
        const readAtMs = this.options.clock.nowMs();
        return this.availabilities.recordStart({ idHash: hashFast(id), startedAtMs, readAtMs, mayBeOutdated });
    }

    private observeRecord(target: Target): void {
        if (target.entry.state === "draining") {
            this.signals.recordLeaving(target.availability, target.id, "record");
        }
    }

    private applyDataCentre(dataCentre: string, isOut: boolean): void {
        const wasOut = this.dataCentresOut.has(dataCentre);
        this.options.logger.write("info", isOut ? "data centre out of service" : "data centre in service", {
            dataCentre,
        });
        if (isOut) {
            this.dataCentresOut.add(dataCentre);
            return;
        }
        this.dataCentresOut.delete(dataCentre);
        // Targets that received no requests for a while have usually been restarted or moved in the meantime, so they are cold when the
        // data centre returns to service. Their entries report it only with the next heartbeat; until then, full load would crash them.
        for (const target of wasOut ? this.targets.values() : []) {
            if (target.dataCentre === dataCentre) {
                this.setCold(target, this.services.get(target.entry.service)?.coldStartMs ?? 0);
            }
        }
    }

    private addTarget(entry: TargetEntry): void {
        const { random, connectionLimits } = this.options;
        const target = new Target(
            entry,
            this.services.get(entry.service),
            random,
            connectionLimits,
            this.availabilities,
            this.speeds.getOrCreate(entry.service),
        );
        target.incarnationSeenAtMs = this.options.clock.nowMs();
        this.setCold(target, entry.coldLeftMs);
        this.targets.set(entry.id, target);
        this.byHash.set(target.idHash, target);
        const serviceTargets = this.byService.get(entry.service) ?? [];
        serviceTargets.push(target);
        this.byService.set(entry.service, serviceTargets);
        this.versions.add(entry);
        const { id, service, address, dataCentre, version, state, coldLeftMs } = entry;
        this.options.logger.write("info", "target added", {
            target: id,
            service,
            address,
            dataCentre,
            version,
            state,
            coldLeftMs,
        });
        this.observeRecord(target);
    }

    private setCold(target: Target, ms: number): void {
        if (ms > 0) {
            target.coldUntilMs = Math.max(target.coldUntilMs, this.options.clock.nowMs() + ms);
        }
    }

    private remove(id: string): void {
        const target = this.targets.get(id);
        if (target === undefined) {
            return;
        }
        this.targets.delete(id);
        this.byHash.delete(target.idHash);
        this.availabilities.removeWithoutStartTime(target.incarnation);
        const others = (this.byService.get(target.entry.service) ?? []).filter(other => other !== target);
        this.byService.set(target.entry.service, others);
        this.versions.remove(target.entry);
        target.dispose();
        const { removal, entry } = target;
        const removedForMs = removal === undefined ? 0 : Math.round(this.options.clock.nowMs() - removal.atMs);
        this.recordRemovals.clear(target);
        this.options.logger.write("info", "a target is gone", { target: id, service: entry.service, removedForMs });
    }
}

/** Whether a target without a record has reached its removal time; checked at each send, as timers are late on a busy event loop. */
function isRemoved({ removal }: Target, nowMs: number): boolean {
    return removal !== undefined && nowMs >= removal.keptUntilMs;
}
