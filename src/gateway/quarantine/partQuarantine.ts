import { CancellationTokenSource } from "../../base/cancellation.js";
import type { Clock } from "../../base/clock.js";
import { hashFast } from "../../base/hash.js";
import { DisposableStore, type Disposable } from "../../base/lifecycle.js";
import type { Logger } from "../../base/log.js";
import type { Random } from "../../base/random.js";
import type { Sleep } from "../../base/sleep.js";
import type { SetTimer } from "../../base/timers.js";
import type { TargetOwners } from "../../decisions/placement/targetOwners.js";
import {
    beginningRunWeight,
    laterRunWeight,
    PartLedger,
    trialRunWeight,
    type HeldParts,
    type HoldChange,
    type PartEvidence,
} from "../../decisions/quarantine/partLedger.js";
import { maxPartIdLength, maxParts, type PartMessage, type ServiceParts } from "./partMessage.js";
import type { PartRecords } from "./partRecords.js";
import { RepeatedBroadcast } from "./repeatedBroadcast.js";

/** Sends a message to all known routers. */
export interface PartTransport {
    sendPartsToAll(message: PartMessage): void;
}

/** Dependencies of a {@link PartQuarantine}. */
export interface PartQuarantineOptions {
    readonly ownId: string;
    readonly owners: TargetOwners;
    readonly partTransport: PartTransport;
    readonly partRecords: PartRecords;
    readonly clock: Clock;
    readonly random: Random;
    readonly setTimer: SetTimer;
    readonly sleep: Sleep;
    readonly logger: Logger;
}

/** Decision on a request by the parts of its prompt. */
export type PartPermit =
    | { readonly kind: "not-needed" }
    | { readonly kind: "held" }
    /** It would be a trial, and another request runs as one, here or at another router. */
    | { readonly kind: "busy" }
    /** It runs as a trial; {@link PartQuarantine.endTrial} must be called afterwards. */
    | { readonly kind: "trial"; readonly trial: ServiceParts };

/** A request that ran at a target when that crashed. */
export interface CrashedRun {
    readonly service: string;
    readonly incarnation: number;
    /** Time since the first output of the attempt; milliseconds, undefined without output. */
    readonly outputMs: number | undefined;
    /** Set if the request ran as a trial. */
    readonly trial: ServiceParts | undefined;
}

/** Time after its first output for which a response counts as beginning; targets write the first events within it. */
const beginningMs = 500;
/** Maximum delay of a report that parts have been answered. Routers that receive such a report meanwhile send none. Milliseconds. */
const maxClearDelayMs = 80;
/** Interval between attempts to read the held parts. */
const readRetryMs = 1_000;
const writeRetryMs = 2_000;
/** Maximum number of prompt parts in a log line. */
const maxLoggedParts = 8;

/** Detects prompt parts under which targets crash, and stops sending requests with them. */
export class PartQuarantine implements Disposable {
    private readonly store = new DisposableStore();
    private readonly lifetime = this.store.add(new CancellationTokenSource());
    private readonly ledger = new PartLedger();
    private readonly reports: RepeatedBroadcast<PartMessage>;
    /** Parts of the trials that this router currently runs, by key. */
    private readonly trials = new Set<string>();
    /** Parts whose acquittal is about to be reported, by key. */
    private readonly clearing = new Set<string>();
    private readonly timers = new Set<Disposable>();

    public constructor(private readonly options: PartQuarantineOptions) {
        const { partTransport, setTimer } = options;
        this.reports = this.store.add(
            new RepeatedBroadcast(message => partTransport.sendPartsToAll(message), setTimer),
        );
    }

    /** Reads the parts that were held before this process started; retries while the store is unavailable. */
    public async load(): Promise<void> {
        const { partRecords, clock, sleep, logger } = this.options;
        const { token } = this.lifetime;
        while (!token.isCancelled) {
            const found = await partRecords.read(token);
            if (found.isOk()) {
                for (const { heldUntil, ...held } of found.value) {
                    const leftMs = Math.max(0, heldUntil.getTime() - clock.nowDate().getTime());
                    this.ledger.applyStored({ ...held, leftMs: Math.min(leftMs, held.holdMs) }, clock.nowMs());
                }
                return;
            }
            logger.write("warn", "reading the held parts failed; will be retried", { detail: found.error.message });
            await sleep(readRetryMs, token);
        }
    }

    /** Decides whether a request for one of the services may run. A trial runs at one router, one at a time. */
    public takePermit(services: readonly string[], parts: readonly string[]): PartPermit {
        const nowMs = this.options.clock.nowMs();
        for (const service of services.filter(name => this.ledger.hasHolds(name))) {
            const status = this.ledger.check(service, parts, nowMs);
            if (status.kind === "held") {
                return { kind: "held" };
            }
            if (status.kind === "trial") {
                const permit = this.takeTrial({ service, parts: status.parts }, nowMs);
                // A request with all held parts most likely crashes its target, so that a retry would not help its caller.
                return permit.kind === "busy" && status.hasAll ? { kind: "held" } : permit;
            }
        }
        return { kind: "not-needed" };
    }

    /** Ends a trial, so that another request can run as one. */
    public endTrial(trial: ServiceParts): void {
        this.trials.delete(createKey(trial));
    }

    /** Whether a request may be sent to a further target. `hasCrashed`: its last target has crashed. */
    public canRetry(service: string, parts: readonly string[], hasCrashed: boolean): boolean {
        const nowMs = this.options.clock.nowMs();
        const status = this.ledger.check(service, parts, nowMs);
        return hasCrashed
            ? status.kind === "clear" && !this.ledger.isSuspect(service, parts, nowMs)
            : status.kind !== "held";
    }

    /** Records that a target crashed while it ran a request with these parts. */
    public recordCrash(parts: readonly string[], run: CrashedRun): void {
        const { clock } = this.options;
        const nowMs = clock.nowMs();
        const { service, incarnation, trial } = run;
        const accused = listTracked(trial?.parts ?? parts).filter(
            part => !this.ledger.isAcquitted(service, part, nowMs),
        );
        if (accused.length === 0) {
            return;
        }
        const evidence = { service, incarnation, parts: accused, weight: computeWeight(run) };
        this.reports.send({ evidence: [evidence], cleared: [], released: [] });
        this.applyChange(this.ledger.recordCrash(evidence, nowMs), true);
    }

    /** Acquits the parts of a request that received a complete response. */
    public recordResponse(service: string, parts: readonly string[]): void {
        const tracked = listTracked(parts);
        const accused = tracked.filter(part => this.ledger.isAccused(service, part));
        const change = this.ledger.recordResponse(service, tracked, this.options.clock.nowMs());
        if (accused.length > 0) {
            this.reports.send({ evidence: [], cleared: [{ service, parts: accused }], released: [] });
        }
        this.applyChange(change, true);
    }

    /** Applies a report of another router. */
    public applyMessage({ evidence, cleared, released }: PartMessage): void {
        const nowMs = this.options.clock.nowMs();
        for (const { service, parts } of released) {
            this.applyChange(this.ledger.release(service, parts, nowMs), false);
        }
        for (const { service, parts } of cleared) {
            this.applyChange(this.ledger.recordResponse(service, parts, nowMs), false);
            parts.forEach(part => this.clearing.delete(createKey({ service, parts: [part] })));
        }
        for (const entry of evidence) {
            this.reportAcquitted(entry, nowMs);
            this.applyChange(this.ledger.recordCrash(entry, nowMs), false);
        }
    }

    /** Allows requests with the part to run again at all routers; false: the part is not held. */
    public release(service: string, part: string): boolean {
        const isHeld = this.listHeld().some(held => held.service === service && held.parts.includes(part));
        if (isHeld) {
            const released = { service, parts: [part] };
            this.reports.send({ evidence: [], cleared: [], released: [released] });
            this.applyChange(this.ledger.release(released.service, released.parts, this.options.clock.nowMs()), true);
        }
        return isHeld;
    }

    /** Writes the records again after the store may have lost its latest writes. Only one router writes each of them. */
    public writeRecords(): void {
        this.listHeld()
            .filter(held => this.isOwner(held))
            .forEach(held => this.writeRecord(held));
    }

    /** Parts that are held or wait for a trial. */
    public listHeld(): readonly HeldParts[] {
        return this.ledger.listHeld(this.options.clock.nowMs());
    }

    public dispose(): void {
        this.lifetime.cancel();
        this.timers.forEach(timer => timer.dispose());
        this.store.dispose();
    }

    private takeTrial(trial: ServiceParts, nowMs: number): PartPermit {
        const key = createKey(trial);
        const isHere = this.options.owners.find(hashFast(key), nowMs) === this.options.ownId;
        if (!isHere || this.trials.has(key)) {
            return { kind: "busy" };
        }
        this.trials.add(key);
        return { kind: "trial", trial };
    }

    /** Tells the reporting router about parts that it accuses and that have been answered here. */
    private reportAcquitted({ service, parts }: PartEvidence, nowMs: number): void {
        const { random } = this.options;
        for (const part of parts.filter(candidate => this.ledger.isAcquitted(service, candidate, nowMs))) {
            const entry = { service, parts: [part] };
            const key = createKey(entry);
            if (this.clearing.has(key)) {
                continue;
            }
            this.clearing.add(key);
            // A report by another router, received meanwhile, makes this one needless: many routers may have answered the part.
            this.setTimer(random.next() * maxClearDelayMs, () => {
                if (this.clearing.delete(key)) {
                    this.options.partTransport.sendPartsToAll({ evidence: [], cleared: [entry], released: [] });
                }
            });
        }
    }

    /** `isObserver`: this router has observed the cause, so that it stores the change; the owner of the parts does so as well. */
    private applyChange({ added, removed }: HoldChange, isObserver: boolean): void {
        const { logger, partRecords } = this.options;
        for (const held of removed) {
            logger.write("info", "prompt parts are no longer held together", describe(held));
            if (isObserver || this.isOwner(held)) {
                void partRecords.remove(held, this.lifetime.token);
            }
        }
        for (const held of added) {
            logger.write("error", "prompt parts that crash targets are now held", describe(held));
            if (isObserver || this.isOwner(held)) {
                this.writeRecord(held);
            }
        }
    }

    private isOwner(held: ServiceParts): boolean {
        const { owners, clock, ownId } = this.options;
        return owners.find(hashFast(createKey(held)), clock.nowMs()) === ownId;
    }

    /** Stores held parts; retries while they are held. */
    private writeRecord({ service, parts, leftMs, holdMs }: HeldParts): void {
        const { clock, partRecords, logger } = this.options;
        const heldUntil = new Date(clock.nowDate().getTime() + leftMs);
        void partRecords.write({ service, parts, heldUntil, holdMs }, this.lifetime.token).mapErr(error => {
            logger.write("warn", "storing held parts failed; will be retried", { detail: error.message });
            this.setTimer(writeRetryMs, () => {
                const key = createKey({ service, parts });
                this.listHeld()
                    .filter(held => createKey(held) === key)
                    .forEach(held => this.writeRecord(held));
            });
        });
    }

    private setTimer(ms: number, action: () => void): void {
        if (this.lifetime.token.isCancelled) {
            return;
        }
        const timer = this.options.setTimer(ms, () => {
            this.timers.delete(timer);
            action();
        });
        this.timers.add(timer);
    }
}

function computeWeight({ outputMs, trial }: CrashedRun): number {
    if (trial !== undefined) {
        return trialRunWeight;
    }
    return outputMs === undefined || outputMs <= beginningMs ? beginningRunWeight : laterRunWeight;
}

/** The parts that evidence is kept for. */
function listTracked(parts: readonly string[]): readonly string[] {
    return parts.filter(part => part.length <= maxPartIdLength).slice(0, maxParts);
}

function createKey({ service, parts }: ServiceParts): string {
    return [service, ...[...parts].sort()].join("\n");
}

function describe({ service, parts, holdMs }: HeldParts): Record<string, string | number> {
    return { service, parts: parts.slice(0, maxLoggedParts).join(" "), holdMs };
}
