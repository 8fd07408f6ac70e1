import { CancellationTokenSource } from "../../base/cancellation.js";
import type { Clock } from "../../base/clock.js";
import { hashFast } from "../../base/hash.js";
import { DisposableStore, type Disposable } from "../../base/lifecycle.js";
import type { Logger } from "../../base/log.js";
import type { Sleep } from "../../base/sleep.js";
import type { SetTimer } from "../../base/timers.js";
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
import { CrashReports, type CrashTransport } from "./crashReports.js";
import type { CrashMessage } from "./crashMessage.js";
import type { QuarantineRecords } from "./quarantineRecords.js";
import type { RequestIdentity } from "./requestIdentity.js";
import type { TargetProbe } from "./targetProbe.js";

/** Whether a request may run now. */
export type RunPermit =
    /** Nothing speaks against it. */
    | "free"
    /** It is under suspicion, and may run; {@link Quarantine.endTurn} must follow. */
    | "taken"
    /** It is under suspicion, and runs already or has its place at another router. */
    | "busy"
    /** It must not run. */
    | "held";

/** What a {@link Quarantine} needs. */
export interface QuarantineOptions {
    readonly ownId: string;
    readonly peers: Pick<PeerView, "routers">;
    readonly transport: CrashTransport;
    readonly probe: TargetProbe;
    readonly records: QuarantineRecords;
    readonly clock: Clock;
    readonly setTimer: SetTimer;
    readonly sleep: Sleep;
    readonly logger: Logger;
}

const readRetryMs = 1_000;

/** Recognizes requests that end the targets that run them, and keeps them from further targets. */
export class Quarantine implements Disposable {
    private readonly store = new DisposableStore();
    private readonly lifetime = this.store.add(new CancellationTokenSource());
    private readonly ledger = new CrashLedger();
    private readonly reports: CrashReports;
    private readonly owners: TargetOwners;
    /** Requests under suspicion that this router runs just now. */
    private readonly running = new Set<string>();

    public constructor(private readonly options: QuarantineOptions) {
        this.reports = this.store.add(new CrashReports(options.transport, options.setTimer));
        this.owners = new TargetOwners(() => options.peers.routers.routerIds);
    }

    /** Reads what was held before this process started; goes on trying while the store is away. */
    public async load(): Promise<void> {
        const { records, clock, sleep, logger } = this.options;
        const { token } = this.lifetime;
        while (!token.isCancelled) {
            const found = await records.read(token);
            if (found.isOk()) {
                for (const { heldUntil, ...held } of found.value) {
                    const leftMs = Math.max(0, heldUntil.getTime() - clock.nowDate().getTime());
                    this.ledger.applyStored({ ...held, leftMs: Math.min(leftMs, held.holdMs) }, clock.nowMs());
                }
                return;
            }
            logger.write("warn", "held requests can't be read yet", { detail: found.error.message });
            await sleep(readRetryMs, token);
        }
    }

    /**
     * Whether the request may run now. Ids of one such request come to several routers at the same moment, and each would end a
     * target before the first crash is known: under suspicion it runs once at a time, and at one router only before it would be held.
     */
    public takeRunPermit(identity: RequestIdentity): RunPermit {
        if (!this.ledger.hasPrefix(identity.prefixHash)) {
            return "free";
        }
        const nowMs = this.options.clock.nowMs();
        const { digest } = identity;
        const standing = this.ledger.check(digest, nowMs);
        if (standing === "clear") {
            return "free";
        }
        if (standing === "held") {
            return "held";
        }
        const isHere = standing === "suspect" || this.owners.find(hashFast(digest), nowMs) === this.options.ownId;
        if (!isHere || this.running.has(digest)) {
            return standing === "probe" ? "held" : "busy";
        }
        this.running.add(digest);
        return "taken";
    }

    /** Whether the request is held now. */
    public isHeld(identity: RequestIdentity): boolean {
        return (
            this.ledger.hasPrefix(identity.prefixHash) &&
            this.ledger.check(identity.digest, this.options.clock.nowMs()) === "held"
        );
    }

    /** A target broke off the request. Resolves once it is known whether the target has ended; evidence is recorded by then. */
    public async observeDisconnect(identity: RequestIdentity, target: Target, hadOutput: boolean): Promise<void> {
        const { probe, clock, logger } = this.options;
        // A target that leaves ends by itself, and takes with it what is not done.
        if (target.availability.leaving !== undefined || !(await probe.hasEnded(target.entry.address))) {
            return;
        }
        const { digest, prefixHash } = identity;
        const weight = hadOutput ? partialOutputRunWeight : noOutputRunWeight;
        const incarnation = hashFast(`${target.id} ${target.entry.startedAtMs ?? ""}`);
        const evidence = { digest, prefixHash, incarnation, weight };
        const isHeldNow = this.ledger.record(evidence, clock.nowMs());
        this.reports.sendEvidence([evidence]);
        logger.write("warn", "a target ended under a request", { target: target.id, digest, weight });
        if (isHeldNow) {
            this.recordHeld(digest);
        }
    }

    /** A target answered the request as a whole. */
    public observeResponse(identity: RequestIdentity): void {
        if (this.ledger.hasPrefix(identity.prefixHash)) {
            this.release(identity.digest);
        }
    }

    /** A run that took its turn is over. */
    public releaseRunPermit(identity: RequestIdentity): void {
        this.running.delete(identity.digest);
    }

    /** Lets a request run again; false: nothing is known of it. */
    public release(digest: string): boolean {
        const { clock, records, logger } = this.options;
        const wasHeld = this.ledger.findHeld(digest, clock.nowMs()) !== undefined;
        if (!this.ledger.remove(digest, clock.nowMs())) {
            return false;
        }
        this.reports.sendCleared(digest);
        if (wasHeld) {
            logger.write("info", "a request is not held any more", { digest });
            void records.remove(digest, this.lifetime.token);
        }
        return true;
    }

    public applyMessage({ evidence, cleared }: CrashMessage): void {
        const nowMs = this.options.clock.nowMs();
        evidence.forEach((entry: CrashEvidence) => this.ledger.record(entry, nowMs));
        cleared.forEach(digest => this.ledger.remove(digest, nowMs));
    }

    /** Writes the records that may be lost with what the store wrote last; one router for each request. */
    public writeHeldRecords(): void {
        const { clock, ownId } = this.options;
        const nowMs = clock.nowMs();
        for (const held of this.ledger.listHeld(nowMs)) {
            if (this.owners.find(hashFast(held.digest), nowMs) === ownId) {
                this.writeRecord(held);
            }
        }
    }

    public listHeld(): readonly HeldRequest[] {
        return this.ledger.listHeld(this.options.clock.nowMs());
    }

    public dispose(): void {
        this.lifetime.cancel();
        this.store.dispose();
    }

    /** Only the router that saw the deciding crash writes the record: one call for each time that a request is held. */
    private recordHeld(digest: string): void {
        const held = this.ledger.findHeld(digest, this.options.clock.nowMs());
        if (held === undefined) {
            return;
        }
        const { incarnations, holdMs } = held;
        const targets = incarnations.length;
        this.options.logger.write("error", "a request that ends targets is held", { digest, targets, holdMs });
        this.writeRecord(held);
    }

    private writeRecord({ digest, prefixHash, incarnations, leftMs, holdMs }: HeldRequest): void {
        const { clock, records, logger } = this.options;
        const heldUntil = new Date(clock.nowDate().getTime() + leftMs);
        void records
            .write({ digest, prefixHash, incarnations, heldUntil, holdMs }, this.lifetime.token)
            .mapErr(error => {
                logger.write("warn", "a held request can't be stored", { digest, detail: error.message });
            });
    }
}
