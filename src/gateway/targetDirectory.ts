import type { Clock } from "../base/clock.js";
import { Emitter } from "../base/event.js";
import { hashFast } from "../base/hash.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Logger } from "../base/log.js";
import type { Random } from "../base/random.js";
import { AvailabilityRegistry } from "../decisions/health/availabilityRegistry.js";
import type { RecordExpiryPolicy } from "../decisions/health/recordExpiryPolicy.js";
import type { LeavingSource, TargetAvailability } from "../decisions/health/targetAvailability.js";
import type { GatewayConfiguration, ServiceConfiguration } from "./configuration.js";
import type { FleetChange, TargetEntry } from "./fleetSource.js";
import type { LeavingTarget } from "./peers/peerMessage.js";
import { RecordRemovalTracker } from "./recordRemovalTracker.js";
import { Target } from "./target.js";
import type { ConnectionLimits } from "./targetConnection.js";
import type { ResponseHead, TargetSignals } from "./wire.js";

const pauseSpread = 0.1;
const mostPauseSpreadMs = 250;

/** That an answer carried a signal, for the figures. */
export interface ReceivedSignal {
    readonly service: string;
    readonly kind: "leaving" | "pause" | "unreadable-pause";
}

/** What a {@link TargetDirectory} needs. */
export interface TargetDirectoryOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly connectionLimits: ConnectionLimits;
    readonly expiryPolicy: RecordExpiryPolicy;
}

/** The targets that this router knows, and which of them may get requests. */
export class TargetDirectory implements Disposable {
    private readonly targets = new Map<string, Target>();
    private readonly byService = new Map<string, Target[]>();
    private readonly byHash = new Map<number, Target>();
    private readonly removedRecords: RecordRemovalTracker;
    private readonly dataCentresOut = new Set<string>();
    private readonly availabilities = new AvailabilityRegistry();
    private readonly signalEmitter = new Emitter<ReceivedSignal>();
    private services: ReadonlyMap<string, ServiceConfiguration> = new Map();

    public readonly onDidReceiveSignal = this.signalEmitter.onDidFire;

    public constructor(private readonly options: TargetDirectoryOptions) {
        this.removedRecords = new RecordRemovalTracker(options, id => this.remove(id));
    }

    public applyConfiguration(configuration: GatewayConfiguration): void {
        this.services = new Map(configuration.services.map(service => [service.name, service]));
        for (const target of this.targets.values()) {
            target.applyService(this.services.get(target.entry.service));
        }
    }

    public applyChange(change: FleetChange): void {
        if (change.kind === "target") {
            this.applyEntry(change.id, change.entry);
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

    /** By the 32-bit hash of its id, as peers name it. Two ids of one hash would share what is only believed of either. */
    public findByHash(idHash: number): Target | undefined {
        return this.byHash.get(idHash);
    }

    public listAll(): readonly Target[] {
        return [...this.targets.values()];
    }

    public listDataCentresOut(): readonly string[] {
        return [...this.dataCentresOut];
    }

    /** Targets of a service that may get requests: not leaving, not in a data centre that is out. */
    public listOpen(service: string): readonly Target[] {
        const nowMs = this.options.clock.nowMs();
        return (this.byService.get(service) ?? []).filter(target => this.isReady(target, nowMs));
    }

    /** Whether the target is known and may get requests. */
    public isOpen(target: Target): boolean {
        return this.targets.get(target.id) === target && this.isReady(target, this.options.clock.nowMs());
    }

    /** Whether the target must not get even a request that was meant for it: it left, pauses or is out. */
    public isClosed(target: Target): boolean {
        const nowMs = this.options.clock.nowMs();
        return (
            this.targets.get(target.id) !== target ||
            isRemoved(target, nowMs) ||
            target.availability.isClosed(nowMs) ||
            this.dataCentresOut.has(target.dataCentre)
        );
    }

    /** Time until the first target of a service takes requests again, where all that stay pause; undefined: not all do. */
    public computePauseMs(service: string): number | undefined {
        const nowMs = this.options.clock.nowMs();
        const pauses = (this.byService.get(service) ?? [])
            .filter(({ availability, dataCentre }) => {
                return availability.leaving === undefined && !this.dataCentresOut.has(dataCentre);
            })
            .map(({ availability }) => availability.pause.computeRemainingMs(nowMs));
        return pauses.length === 0 || pauses.includes(0) ? undefined : Math.min(...pauses);
    }

    /** Known targets that are leaving, whatever the evidence: a router that starts later learns it from any of its peers. */
    public listLeaving(): readonly LeavingTarget[] {
        return [...this.targets.values()]
            .filter(({ availability }) => availability.leaving !== undefined)
            .flatMap(({ incarnation: { idHash, startedAtMs } }) =>
                startedAtMs === undefined ? [] : [{ targetHash: idHash, startedAtMs }],
            );
    }

    /** Takes what a peer knows of leaving targets; also of those whose records this router has not read yet. */
    public applyLeaving(leaving: readonly LeavingTarget[]): void {
        for (const { targetHash, startedAtMs } of leaving) {
            const availability = this.availabilities.find({ idHash: targetHash, startedAtMs });
            this.recordLeaving(availability, this.byHash.get(targetHash)?.id, "peer");
        }
    }

    /**
     * Takes what a target says of itself in an answer to one of this router's requests. `availability`: of the incarnation that the
     * request was sent to; the target may have started anew since, and its new start has said nothing yet.
     */
    public observeResponse(target: Target, availability: TargetAvailability, head: ResponseHead): void {
        // Another target has the address, and speaks of itself.
        if (head.isOtherTarget) {
            return;
        }
        this.observeSignals(target, availability, head);
        if (head.pause.kind === "none" && !head.isNotExecuted) {
            availability.pause.recordResponse();
        }
    }

    /** Takes what an incarnation of a target says, in any answer, of whether it takes requests. */
    public observeSignals(target: Target, availability: TargetAvailability, { isLeaving, pause }: TargetSignals): void {
        const { service } = target.entry;
        if (isLeaving) {
            this.recordLeaving(availability, target.id, "answer");
            this.signalEmitter.fire({ service, kind: "leaving" });
        }
        if (pause.kind === "wait") {
            this.recordPause(availability, target.id, pause.ms);
            this.signalEmitter.fire({ service, kind: "pause" });
        } else if (pause.kind === "unreadable") {
            this.signalEmitter.fire({ service, kind: "unreadable-pause" });
        }
    }

    /** Another target has the address: the one that was known there is gone, whatever its entry says. */
    public removeReassigned(target: Target): void {
        this.options.logger.write("info", "a target's address belongs to another one", { target: target.id });
        this.remove(target.id);
    }

    public dispose(): void {
        this.signalEmitter.dispose();
        this.removedRecords.dispose();
        for (const target of this.targets.values()) {
            target.dispose();
        }
        this.targets.clear();
        this.byService.clear();
    }

    private recordLeaving(availability: TargetAvailability, target: string | undefined, source: LeavingSource): void {
        const atMs = this.options.clock.nowMs();
        if (availability.recordLeaving({ source, atMs })) {
            this.options.logger.write("info", "a target is leaving", { target, source });
        }
    }

    private recordPause(availability: TargetAvailability, target: string, askedMs: number): void {
        const { clock, random, logger } = this.options;
        const nowMs = clock.nowMs();
        const isNew = !availability.isClosed(nowMs);
        // Routers that were asked at the same time must not all return at the same time.
        const spreadMs = Math.min(askedMs * pauseSpread, mostPauseSpreadMs) * random.next();
        if (availability.pause.record(askedMs + spreadMs, nowMs) && isNew) {
            logger.write("info", "a target wants no requests for a time", { target, askedMs });
        }
    }

    private isReady(target: Target, nowMs: number): boolean {
        const { availability, dataCentre } = target;
        return availability.canAccept(nowMs) && !isRemoved(target, nowMs) && !this.dataCentresOut.has(dataCentre);
    }

    private applyEntry(id: string, entry: TargetEntry | undefined): void {
        // By such a record a target that has started anew would be taken for the one before, and lose what is known of it.
        if (
            entry !== undefined &&
            !this.availabilities.recordStart({ idHash: hashFast(id), startedAtMs: entry.startedAtMs })
        ) {
            this.options.logger.write("info", "a record of an earlier start is left aside", { target: id });
            return;
        }
        const known = this.targets.get(id);
        if (entry === undefined) {
            if (known !== undefined && !this.removedRecords.handleRemoval(known)) {
                this.remove(id);
            }
            return;
        }
        if (known === undefined || known.entry.address !== entry.address || known.entry.service !== entry.service) {
            this.remove(id);
            this.addTarget(entry);
            return;
        }
        // A target may start again under its id. It then holds nothing and is cold, though its entry may still say
        // otherwise; only the time of its start shows it.
        if (known.entry.startedAtMs !== entry.startedAtMs) {
            this.options.logger.write("info", "a target was started anew", { target: id });
            known.clearParts();
            known.connections.closeIdle();
            known.incarnationSeenAtMs = this.options.clock.nowMs();
            this.setCold(known, this.services.get(entry.service)?.coldStartMs ?? 0);
        }
        known.applyEntry(entry);
        this.removedRecords.clear(known);
        this.setCold(known, entry.coldLeftMs);
        this.observeRecord(known);
    }

    private observeRecord(target: Target): void {
        if (target.entry.state === "draining") {
            this.recordLeaving(target.availability, target.id, "record");
        }
    }

    private applyDataCentre(dataCentre: string, isOut: boolean): void {
        const wasOut = this.dataCentresOut.has(dataCentre);
        this.options.logger.write("info", isOut ? "a data centre is out" : "a data centre is back", { dataCentre });
        if (isOut) {
            this.dataCentresOut.add(dataCentre);
            return;
        }
        this.dataCentresOut.delete(dataCentre);
        // Targets that got nothing for a while have usually been restarted or moved in that time, and are cold when the data
        // centre comes back; their entries show it a heartbeat later, after a full load would have crashed them.
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
        );
        target.incarnationSeenAtMs = this.options.clock.nowMs();
        this.setCold(target, entry.coldLeftMs);
        this.targets.set(entry.id, target);
        this.byHash.set(target.idHash, target);
        const known = this.byService.get(entry.service) ?? [];
        known.push(target);
        this.byService.set(entry.service, known);
        const { id, service, address, dataCentre, version, state, coldLeftMs } = entry;
        this.options.logger.write("info", "a target joined", {
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
        target.dispose();
        const { removal, entry } = target;
        const removedForMs = removal === undefined ? 0 : Math.round(this.options.clock.nowMs() - removal.atMs);
        this.removedRecords.clear(target);
        this.options.logger.write("info", "a target is gone", { target: id, service: entry.service, removedForMs });
    }
}

/** Whether its time is over; asked at each send, as a timer is late while the event loop is busy. */
function isRemoved({ removal }: Target, nowMs: number): boolean {
    return removal !== undefined && nowMs >= removal.keptUntilMs;
}
