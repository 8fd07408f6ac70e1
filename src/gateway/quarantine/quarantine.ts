import { CancellationTokenSource } from "../../base/cancellation.js";
import { hashFast } from "../../base/hash.js";
import { DisposableStore, type Disposable } from "../../base/lifecycle.js";
import { runTaskLogged } from "../../base/runLogged.js";
import { TargetOwners } from "../../decisions/placement/targetOwners.js";
import {
    CrashLedger,
    noOutputRunWeight,
    partialOutputRunWeight,
    type CrashEvidence,
    type HeldRequest,
} from "../../decisions/quarantine/crashLedger.js";
import type { PeerView } from "../peers/peerView.js";
import type { Target } from "../target.js";
import { PartQuarantine, type PartQuarantineOptions } from "./partQuarantine.js";
import type { ServiceParts } from "./partMessage.js";
import { CrashReports, type CrashTransport } from "./crashReports.js";
import type { CrashMessage } from "./crashMessage.js";
import type { QuarantineRecords } from "./quarantineRecords.js";
import type { RequestIdentity } from "./requestIdentity.js";
import type { TargetProbe } from "./targetProbe.js";

/** Whether a request may run now, and whether it holds a run permit. */
export type RunPermit =
    /** It is not a suspect, and needs no permit. */
    | "not-needed"
    /** It is a suspect and holds a permit, which {@link Quarantine.releaseRunPermit} must release. */
    | "granted"
    /** It is a suspect, and runs already or may only run at another router. */
    | "busy"
    /** It is held and must not run. */
    | "held";

/** Dependencies of a {@link Quarantine}. */
export interface QuarantineOptions extends Omit<PartQuarantineOptions, "owners"> {
    readonly peers: Pick<PeerView, "routers">;
    readonly transport: CrashTransport;
    readonly probe: TargetProbe;
    readonly records: QuarantineRecords;
}

/** How far an attempt had come when its target disconnected. */
export interface DisconnectedRun {
    readonly target: Target;
    /** Whether the request had produced output, at this target or an earlier one. */
    readonly hadOutput: boolean;
    /** Time since the first output of this attempt; milliseconds, undefined without output. */
    readonly outputMs: number | undefined;
    /** Set if the request ran as a trial of held parts. */
    readonly trial: ServiceParts | undefined;
}

/** Maximum number of prompt parts in a log line. */
const maxLoggedParts = 8;
/** Interval between attempts to read the held requests. */
const readRetryMs = 1_000;

/** Detects requests that crash the targets that run them, and stops sending them to further targets. */
export class Quarantine implements Disposable {
    private readonly store = new DisposableStore();
    private readonly lifetime = this.store.add(new CancellationTokenSource());
    private readonly ledger = new CrashLedger();
    private readonly reports: CrashReports;
    private readonly owners: TargetOwners;
    /** Prompt parts under which targets crash. */
    public readonly parts: PartQuarantine;
    /** Digests of suspect requests that this router currently runs. */
    private readonly running = new Set<string>();

    public constructor(private readonly options: QuarantineOptions) {
        this.reports = this.store.add(new CrashReports(options.transport, options.setTimer));
        this.owners = new TargetOwners(() => options.peers.routers.routerIds);
        this.parts = this.store.add(new PartQuarantine({ ...options, owners: this.owners }));
    }

    /** Reads the requests that were held before this process started; retries while the store is unavailable. */
    public async load(): Promise<void> {
        const { records, clock, sleep, logger } = this.options;
        runTaskLogged(logger, "loading held parts failed", () => this.parts.load());
        const { token } = this.lifetime;
        while (!token.isCancelled) {
            const found = await records.read(token);
            if (found.isOk()) {
                for (const { heldUntil, ...held } of found.value) {
                    const remainingMs = Math.max(0, heldUntil.getTime() - clock.nowDate().getTime());
                    this.ledger.applyStored({ ...held, leftMs: Math.min(remainingMs, held.holdMs) }, clock.nowMs());
                }
                return;
            }
            logger.write("warn", "reading the held requests failed; will be retried", { detail: found.error.message });
            await sleep(readRetryMs, token);
        }
    }

    /**
     * Decides whether the request may run now. The same request may arrive at several routers at the same moment under different ids,
     * and each copy would crash a target before the first crash is reported. A suspect therefore runs once at a time at each router,
     * and at a single router only once one more crash would hold it.
     */
    public takeRunPermit(identity: RequestIdentity): RunPermit {
        if (!this.ledger.hasPrefix(identity.prefixHash)) {
            return "not-needed";
        }
        const nowMs = this.options.clock.nowMs();
        const { digest } = identity;
        const status = this.ledger.check(digest, nowMs);
        if (status === "clear") {
            return "not-needed";
        }
        if (status === "held") {
            return "held";
        }
        const mayRunHere = status === "suspect" || this.owners.find(hashFast(digest), nowMs) === this.options.ownId;
        if (!mayRunHere || this.running.has(digest)) {
            return status === "probe" ? "held" : "busy";
        }
        this.running.add(digest);
        return "granted";
    }

    /** Whether the request is currently held. */
    public isHeld(identity: RequestIdentity): boolean {
        return (
            this.ledger.hasPrefix(identity.prefixHash) &&
            this.ledger.check(identity.digest, this.options.clock.nowMs()) === "held"
        );
    }

    /**
     * Handles a disconnect by the target. Resolves once the target has been probed, with whether it has crashed; if it has, the evidence
     * is recorded by then.
     */
    public async observeDisconnect(identity: RequestIdentity, run: DisconnectedRun): Promise<boolean> {
        const { probe, clock, logger } = this.options;
        const { target, hadOutput, outputMs, trial } = run;
        // A leaving target stops as planned and disconnects unfinished requests, which is no evidence of a crash.
        if (target.availability.leaving !== undefined || !(await probe.hasEnded(target.entry.address))) {
            return false;
        }
        const { digest, prefixHash } = identity;
        const weight = hadOutput ? partialOutputRunWeight : noOutputRunWeight;
        const incarnation = hashFast(`${target.id} ${target.entry.startedAtMs ?? ""}`);
        const evidence = { digest, prefixHash, incarnation, weight };
        const isHeldNow = this.ledger.record(evidence, clock.nowMs());
        this.reports.sendEvidence([evidence]);
        logger.write("warn", "a target crashed while it ran a request", {
            target: target.id,
            digest,
            weight,
            parts: identity.sharedParts.slice(0, maxLoggedParts).join(" "),
        });
        if (isHeldNow) {
            this.recordHeld(digest);
        }
        const { service } = target.entry;
        this.parts.recordCrash(identity.sharedParts, { service, incarnation, outputMs, trial });
        return true;
    }

    /** Clears the request, and the parts of its prompt, after a complete response from a target. */
    public observeResponse(identity: RequestIdentity, target: Target): void {
        this.parts.recordResponse(target.entry.service, identity.sharedParts);
        if (this.ledger.hasPrefix(identity.prefixHash)) {
            this.release(identity.digest);
        }
    }

    /** Releases the permit of a suspect's run. */
    public releaseRunPermit(identity: RequestIdentity): void {
        this.running.delete(identity.digest);
    }

    /** Allows a request to run again; false: there is no evidence against it. */
    public release(digest: string): boolean {
        const { clock, records, logger } = this.options;
        const wasHeld = this.ledger.findHeld(digest, clock.nowMs()) !== undefined;
        if (!this.ledger.remove(digest, clock.nowMs())) {
            return false;
        }
        this.reports.sendCleared(digest);
        if (wasHeld) {
            logger.write("info", "a request is no longer held", { digest });
            void records.remove(digest, this.lifetime.token);
        }
        return true;
    }

    /** Applies a report of crashes from another router. */
    public applyMessage({ evidence, cleared }: CrashMessage): void {
        const nowMs = this.options.clock.nowMs();
        evidence.forEach((entry: CrashEvidence) => this.ledger.record(entry, nowMs));
        cleared.forEach(digest => this.ledger.remove(digest, nowMs));
    }

    /** Writes the records again after the store may have lost its latest writes. Only one router writes each of them. */
    public writeHeldRecords(): void {
        const { clock, ownId } = this.options;
        const nowMs = clock.nowMs();
        for (const held of this.ledger.listHeld(nowMs)) {
            if (this.owners.find(hashFast(held.digest), nowMs) === ownId) {
                this.writeRecord(held);
            }
        }
        this.parts.writeRecords();
    }

    /** Requests that are currently held. */
    public listHeld(): readonly HeldRequest[] {
        return this.ledger.listHeld(this.options.clock.nowMs());
    }

    public dispose(): void {
        this.lifetime.cancel();
        this.store.dispose();
    }

    /** Stores a request that is now held. Only the router that observed the deciding crash calls this, so that each hold is stored once. */
    private recordHeld(digest: string): void {
        const held = this.ledger.findHeld(digest, this.options.clock.nowMs());
        if (held === undefined) {
            return;
        }
        const { incarnations, holdMs } = held;
        const targets = incarnations.length;
        this.options.logger.write("error", "a request that crashes targets is now held", { digest, targets, holdMs });
        this.writeRecord(held);
    }

    private writeRecord({ digest, prefixHash, incarnations, leftMs, holdMs }: HeldRequest): void {
        const { clock, records, logger } = this.options;
        const heldUntil = new Date(clock.nowDate().getTime() + leftMs);
        void records
            .write({ digest, prefixHash, incarnations, heldUntil, holdMs }, this.lifetime.token)
            .mapErr(error => {
                logger.write("warn", "storing a held request failed", { digest, detail: error.message });
            });
    }
}
