import type { Refusal } from "../entities.js";
import type { KeyAuthority } from "./keyOwnerAuthority.js";
import { defaultKeyTiming, type Instant } from "./keyTiming.js";
import { hashKey, type KeyUse } from "./keyUse.js";

/** What a home does with a request that carries a key. */
export type KeyDecision =
    /** Start it when its turn comes; ask {@link KeyTable.start} at the last moment before. */
    | { readonly type: "run"; readonly keyHash: string }
    /** The same request waits or runs here; give this caller the answer of that one. */
    | { readonly type: "join"; readonly keyHash: string; readonly requestId: string }
    /** It ran; give this caller the answer that is kept under the reference. */
    | { readonly type: "replay"; readonly keyHash: string; readonly answerReference: string }
    /** Its target takes nothing new; the request goes on under this issued key, and so does every repeat. */
    | { readonly type: "delegate"; readonly keyHash: string; readonly delegateKey: string }
    | { readonly type: "refuse"; readonly refusal: Refusal; readonly homeAgentId?: string };

/** How a run ended, as far as its key goes. */
export type KeyOutcome =
    /** The whole answer is kept under the reference and takes so many bytes. */
    | { readonly type: "completed"; readonly answerReference: string; readonly answerBytes: number }
    /** The target surely never took it; the key is free again. */
    | { readonly type: "not-run" }
    /** The target may have run it, and no whole answer is here. */
    | { readonly type: "unknown" };

/** Bounds of a table. */
export interface KeyTableLimits {
    readonly maxEntries: number;
    /** So that one account's flood of keys leaves room for the others. */
    readonly maxEntriesPerAccount: number;
    /** Bytes of kept answers over all entries. */
    readonly maxAnswerBytes: number;
    readonly retentionMs: number;
    /** How long after a key was handed over the other home may still start it: the life of the issued key. */
    readonly delegationMs: number;
}

/** What an agent uses: about 300 bytes an entry, so 6 MB of entries and 8 MB of answers at the most. */
export const defaultKeyTableLimits: KeyTableLimits = {
    maxEntries: 20_000,
    maxEntriesPerAccount: 5_000,
    maxAnswerBytes: 8_388_608,
    retentionMs: defaultKeyTiming.retentionMs,
    delegationMs: defaultKeyTiming.issuedLifetimeMs + defaultKeyTiming.maxClockSkewMs,
};

type KeyState =
    | { readonly type: "waiting" }
    | { readonly type: "running" }
    /** The reference is undefined once the answer's bytes had to go. */
    | { readonly type: "completed"; readonly answerReference: string | undefined; readonly answerBytes: number }
    | { readonly type: "delegated"; readonly delegateKey: string }
    | { readonly type: "unknown" };

interface KeyEntry {
    readonly keyHash: string;
    readonly use: KeyUse;
    readonly state: KeyState;
    /** Monotonic; undefined while it waits or runs. */
    readonly endedAtMs: number | undefined;
}

/**
 * The keys that one home has seen: one entry per (account, service, key). Nothing in here is stored; what a process
 * that is gone has seen is {@link KeyAuthority}'s matter.
 */
export class KeyTable {
    private readonly entries = new Map<string, KeyEntry>();
    /** Hashes of ended entries in the order in which they were added, for {@link advance}; none goes early by it. */
    private readonly ended = new Set<string>();
    private readonly entriesByAccount = new Map<string, number>();
    private answerBytes = 0;

    public constructor(
        private readonly authority: KeyAuthority,
        private readonly limits: KeyTableLimits,
    ) {}

    /** Number of entries. */
    public get size(): number {
        return this.entries.size;
    }

    /**
     * Resolves a request that has arrived; a decision to run reserves the key for it. With a `delegateKey`, an issued key
     * that names another home, a key that was not seen is handed over to that home instead. The first one is kept: were each
     * repeat handed on under a key of its own, two homes would run it.
     */
    public resolve(use: KeyUse, at: Instant, delegateKey?: string): KeyDecision {
        const keyHash = hashKey(use);
        const entry = this.entries.get(keyHash);
        if (entry !== undefined) {
            return resolveSeen(entry, use);
        }
        const standing = this.authority.check(use, at);
        if (standing.type === "refused") {
            return { type: "refuse", refusal: standing.refusal, homeAgentId: standing.homeAgentId };
        }
        const refusal = this.findFullness(use.clientAccount);
        if (refusal !== undefined) {
            return { type: "refuse", refusal };
        }
        this.addToAccount(use.clientAccount, 1);
        if (delegateKey !== undefined) {
            const state: KeyState = { type: "delegated", delegateKey };
            // The retention runs from the last moment at which the other home may start it. Counted from now, a repeat that
            // its caller sends within the retention of that start would find the key forgotten here, and run again.
            const endedAtMs = at.nowMs + this.limits.delegationMs;
            this.entries.set(keyHash, { keyHash, use, state, endedAtMs });
            this.ended.add(keyHash);
            return { type: "delegate", keyHash, delegateKey };
        }
        this.entries.set(keyHash, { keyHash, use, state: { type: "waiting" }, endedAtMs: undefined });
        return { type: "run", keyHash };
    }

    /**
     * Asked in the same turn of the event loop in which the request is given to the target. Undefined: start it.
     * A refusal: do not; this request never started here, and the key is released.
     * The request may have waited in the queue while the lease lapsed or the range of keys went to another agent, which
     * may have started a repeat since; so the authority is asked again.
     */
    public start(keyHash: string, at: Instant): Refusal | undefined {
        const entry = this.entries.get(keyHash);
        if (entry?.state.type !== "waiting") {
            return createDuplicateRefusal("unknown", "The key is not waiting to start.");
        }
        const standing = this.authority.check(entry.use, at);
        if (standing.type === "refused") {
            this.remove(entry);
            return standing.refusal;
        }
        this.entries.set(keyHash, { ...entry, state: { type: "running" } });
        return undefined;
    }

    /** Frees a key whose request was withdrawn, refused or cancelled before it started. Returns false if it had started. */
    public release(keyHash: string): boolean {
        const entry = this.entries.get(keyHash);
        if (entry?.state.type !== "waiting") {
            return false;
        }
        this.remove(entry);
        return true;
    }

    /** Takes in how a run ended. */
    public close(keyHash: string, outcome: KeyOutcome, nowMs: number): void {
        const entry = this.entries.get(keyHash);
        if (entry?.state.type !== "running") {
            return;
        }
        if (outcome.type === "not-run") {
            this.remove(entry);
            return;
        }
        this.ended.add(keyHash);
        this.entries.set(keyHash, { ...entry, state: this.createEndState(outcome), endedAtMs: nowMs });
    }

    /**
     * Forgets what ended longer ago than the retention, and returns the references of the answers that may go.
     * Nothing younger is ever forgotten: dropped to make room, a key would run again on its repeat.
     */
    public advance(nowMs: number): readonly string[] {
        const references: string[] = [];
        for (const keyHash of this.ended) {
            const entry = this.entries.get(keyHash);
            if (entry?.endedAtMs === undefined || nowMs - entry.endedAtMs < this.limits.retentionMs) {
                break;
            }
            if (entry.state.type === "completed" && entry.state.answerReference !== undefined) {
                references.push(entry.state.answerReference);
            }
            this.remove(entry);
        }
        return references;
    }

    /** When {@link advance} is next of use; undefined when nothing has ended. */
    public nextTickAtMs(): number | undefined {
        for (const keyHash of this.ended) {
            const endedAtMs = this.entries.get(keyHash)?.endedAtMs;
            return endedAtMs === undefined ? undefined : endedAtMs + this.limits.retentionMs;
        }
        return undefined;
    }

    private createEndState(outcome: Exclude<KeyOutcome, { readonly type: "not-run" }>): KeyState {
        if (outcome.type === "unknown") {
            return { type: "unknown" };
        }
        if (this.answerBytes + outcome.answerBytes > this.limits.maxAnswerBytes) {
            return { type: "completed", answerReference: undefined, answerBytes: 0 };
        }
        this.answerBytes += outcome.answerBytes;
        return outcome;
    }

    private findFullness(clientAccount: string): Refusal | undefined {
        const retryAfterMs = this.limits.retentionMs;
        if ((this.entriesByAccount.get(clientAccount) ?? 0) >= this.limits.maxEntriesPerAccount) {
            const detail = "The account has too many idempotency keys in use at this agent.";
            return { reason: "account-queue-full", execution: "not-run", retryAfterMs, detail };
        }
        if (this.entries.size >= this.limits.maxEntries) {
            const detail = "The agent's table of idempotency keys is full.";
            return { reason: "queue-full", execution: "not-run", retryAfterMs, detail };
        }
        return undefined;
    }

    private remove(entry: KeyEntry): void {
        this.entries.delete(entry.keyHash);
        this.ended.delete(entry.keyHash);
        this.addToAccount(entry.use.clientAccount, -1);
        if (entry.state.type === "completed") {
            this.answerBytes -= entry.state.answerBytes;
        }
    }

    private addToAccount(clientAccount: string, difference: number): void {
        const left = (this.entriesByAccount.get(clientAccount) ?? 0) + difference;
        if (left === 0) {
            this.entriesByAccount.delete(clientAccount);
        } else {
            this.entriesByAccount.set(clientAccount, left);
        }
    }
}

function resolveSeen(entry: KeyEntry, use: KeyUse): KeyDecision {
    const { keyHash, state } = entry;
    if (entry.use.requestDigest !== use.requestDigest) {
        // `unknown`, though this body did not run: a caller that reads `not-run` sends it again, and the key did run.
        const refusal = createDuplicateRefusal(
            "unknown",
            "The key was used with another request; this one did not run.",
        );
        return { type: "refuse", refusal };
    }
    switch (state.type) {
        case "waiting":
        case "running":
            return { type: "join", keyHash, requestId: entry.use.requestId };
        case "delegated":
            return { type: "delegate", keyHash, delegateKey: state.delegateKey };
        case "unknown":
            return { type: "refuse", refusal: createUnknownRefusal() };
        case "completed":
            return state.answerReference === undefined
                ? { type: "refuse", refusal: createDuplicateRefusal("ran", "It ran; its answer is no longer kept.") }
                : { type: "replay", keyHash, answerReference: state.answerReference };
    }
}

function createDuplicateRefusal(execution: Refusal["execution"], detail: string): Refusal {
    return { reason: "duplicate", execution, retryAfterMs: undefined, detail };
}

function createUnknownRefusal(): Refusal {
    const detail = "The request was given to the target, and how that ended is not known.";
    return { reason: "key-unknown", execution: "unknown", retryAfterMs: undefined, detail };
}
