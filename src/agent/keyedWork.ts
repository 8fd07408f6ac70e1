import type { Clock } from "../base/clock.js";
import { hashText } from "../base/hash.js";
import type { Disposable } from "../base/lifecycle.js";
import type { WorkEnvelope, WorkFrame } from "../control/frames.js";
import type { Refusal } from "../fleet/entities.js";
import type { EventRecorder } from "../events/fleetEvent.js";
import type { Scheduler } from "../fleet/coreRunner.js";
import type { KeyOutcome, KeyTable } from "../fleet/keys/keyTable.js";
import type { Instant } from "../fleet/keys/keyTiming.js";
import type { KeyUse } from "../fleet/keys/keyUse.js";
import type { AnswerFollower } from "./answerFollower.js";
import type { HeldWork } from "./heldWork.js";
import type { StartGuard, WorkHolder } from "./workHolder.js";

/** Larger answers are passed on but not kept for repeats. */
const maxKeptAnswerBytes = 262_144;

/** What the home's side of keys is built from. */
export interface KeyedWorkParts {
    readonly table: KeyTable;
    readonly holder: WorkHolder;
    readonly clock: Clock;
    readonly scheduler: Scheduler;
    readonly recorder: EventRecorder;
    /** Undefined while new requests may start here; else the issued key of another home under which new ones go on. */
    findDelegateKey(envelope: WorkEnvelope): string | undefined;
}

interface KeyedRun {
    readonly keyHash: string;
    readonly held: HeldWork;
    readonly frames: WorkFrame[];
    bytes: number;
}

/** The home's side of idempotency keys: one run a key, and the same answer for its repeats. */
export class KeyedWork implements StartGuard, Disposable {
    private readonly runs = new Map<string, KeyedRun>();
    private readonly answers = new Map<string, readonly WorkFrame[]>();
    /** Requests that wait for another's answer: their id to the other's. */
    private readonly repeats = new Map<string, string>();
    private timer: Disposable | undefined;

    public constructor(private readonly parts: KeyedWorkParts) {}

    /** Takes a request that carries a key. */
    public takeWork(envelope: WorkEnvelope, body: Buffer, follower: AnswerFollower): void {
        const delegateKey = this.parts.findDelegateKey(envelope);
        const decision = this.parts.table.resolve(createKeyUse(envelope, body), this.readInstant(), delegateKey);
        switch (decision.type) {
            case "run":
                this.run(decision.keyHash, this.parts.holder.createHeldWork(envelope, body, follower));
                return;
            case "join":
                this.addRepeat(envelope.requestId, decision.requestId, follower);
                return;
            case "replay":
                this.recordReplay(envelope, decision.keyHash);
                void writeAll(follower, this.answers.get(decision.answerReference) ?? [createTooLargeFrame("ran")]);
                return;
            case "delegate":
                void writeAll(follower, [{ type: "delegated", idempotencyKey: decision.delegateKey }]);
                return;
            case "refuse":
                void writeAll(follower, [{ type: "refused", refusal: decision.refusal }]);
                return;
        }
    }

    /** The held request whose answer a follower of `requestId` gets. */
    public findHeldId(requestId: string): string {
        return this.repeats.get(requestId) ?? requestId;
    }

    public checkStart(envelope: WorkEnvelope): Refusal | undefined {
        const run = this.runs.get(envelope.requestId);
        return run === undefined ? undefined : this.parts.table.start(run.keyHash, this.readInstant());
    }

    public dispose(): void {
        this.timer?.dispose();
    }

    private run(keyHash: string, held: HeldWork): void {
        const run: KeyedRun = { keyHash, held, frames: [], bytes: 0 };
        held.onDidWrite(frame => recordFrame(run, frame));
        held.onWillClose(frame => this.close(run, frame));
        // Before the offer: the core may start the request while it takes the offer, and then asks checkStart.
        this.runs.set(held.envelope.requestId, run);
        this.parts.holder.offerWork(held);
    }

    private addRepeat(repeatId: string, requestId: string, follower: AnswerFollower): void {
        const run = this.runs.get(requestId);
        if (run === undefined || run.bytes > maxKeptAnswerBytes) {
            void writeAll(follower, [createTooLargeFrame("unknown")]);
            return;
        }
        // Frames are put into the follower's connection in the order of these calls, so those that come from now on
        // stand behind the ones that were missed. What was missed is bounded, so waiting for the connection is no need.
        run.frames.forEach(frame => void follower.write(frame));
        run.held.add(follower);
        this.repeats.set(repeatId, requestId);
        run.held.onWillClose(() => this.repeats.delete(repeatId));
    }

    private close(run: KeyedRun, frame: WorkFrame): void {
        const { requestId } = run.held.envelope;
        this.runs.delete(requestId);
        if (frame.type === "refused" || frame.type === "withdrawn") {
            this.parts.table.release(run.keyHash);
            return;
        }
        if (frame.type === "end" && run.bytes <= maxKeptAnswerBytes) {
            this.answers.set(requestId, [...run.frames, frame]);
        }
        this.parts.table.close(run.keyHash, toOutcome(run, frame), this.parts.clock.nowMs());
        this.updateTimer();
    }

    private updateTimer(): void {
        const dueAtMs = this.parts.table.nextTickAtMs();
        if (dueAtMs === undefined || this.timer !== undefined) {
            return;
        }
        this.timer = this.parts.scheduler.run(() => {
            this.timer = undefined;
            this.parts.table.advance(this.parts.clock.nowMs()).forEach(reference => this.answers.delete(reference));
            this.updateTimer();
        }, dueAtMs - this.parts.clock.nowMs());
    }

    private recordReplay(envelope: WorkEnvelope, keyHash: string): void {
        const { requestId, clientAccount, service } = envelope;
        this.parts.recorder.record({ kind: "key-replayed", requestId, clientAccount, service, digest: keyHash });
    }

    private readInstant(): Instant {
        return { nowMs: this.parts.clock.nowMs(), wallMs: this.parts.clock.nowDate().getTime() };
    }
}

function createKeyUse(envelope: WorkEnvelope, body: Buffer): KeyUse {
    const { clientAccount, service, requestId } = envelope;
    return {
        clientAccount,
        service,
        key: envelope.idempotencyKey ?? "",
        requestDigest: hashText(JSON.stringify([envelope.method, envelope.path, body.toString("base64")])),
        requestId,
    };
}

function recordFrame(run: KeyedRun, frame: WorkFrame): void {
    run.bytes += frame.type === "chunk" ? frame.data.length : 0;
    if (run.bytes <= maxKeptAnswerBytes) {
        run.frames.push(frame);
    } else {
        run.frames.length = 0;
    }
}

function toOutcome(run: KeyedRun, frame: WorkFrame): KeyOutcome {
    if (frame.type === "end") {
        const isKept = run.bytes <= maxKeptAnswerBytes;
        return {
            type: "completed",
            answerReference: run.held.envelope.requestId,
            // More than any table holds, so that the table keeps the fact that it ran and no reference.
            answerBytes: isKept ? run.bytes : Number.POSITIVE_INFINITY,
        };
    }
    return { type: frame.type === "failed" && frame.execution === "not-run" ? "not-run" : "unknown" };
}

function createTooLargeFrame(execution: "ran" | "unknown"): WorkFrame {
    const detail = "the answer to this key is too large to be given again";
    return { type: "refused", refusal: { reason: "duplicate", execution, detail } };
}

async function writeAll(follower: AnswerFollower, frames: readonly WorkFrame[]): Promise<void> {
    for (const frame of frames) {
        await follower.write(frame);
    }
    follower.close();
}
