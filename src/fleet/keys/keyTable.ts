import type { Refusal } from "../entities.js";
import type { KeyAuthority } from "./keyOwnerAuthority.js";
import { defaultKeyTiming, type Instant } from "./keyTiming.js";
import { hashKey, type KeyUse } from "./keyUse.js";

/** What the owner of a key does with a request that carries it. */
export type KeyDecision =
    /** Queue the request; {@link KeyTable.start} must be called immediately before it is sent to the target. */
    | { readonly type: "run"; readonly keyHash: string }
    /** The same request is waiting or running here; return its response to this caller as well. */
    | { readonly type: "join"; readonly keyHash: string; readonly requestId: string }
    /** The request has completed; return the response that is stored under the reference. */
    | { readonly type: "replay"; readonly keyHash: string; readonly answerReference: string }
    /** The target accepts no new requests; this request and every repeat continue under this issued key. */
    | { readonly type: "delegate"; readonly keyHash: string; readonly delegateKey: string }
    | { readonly type: "refuse"; readonly refusal: Refusal; readonly homeAgentId?: string };

/** Outcome of a run, for the entry of its key. */
export type KeyOutcome =
    /** The complete response is stored under the reference; `answerBytes` is its size. */
    | { readonly type: "completed"; readonly answerReference: string; readonly answerBytes: number }
    /** The target did not accept the request, so it cannot have run; the key may be used again. */
    | { readonly type: "not-run" }
    /** The target may have executed the request, and no complete response was received. */
    | { readonly type: "unknown" };

/** Limits of a key table. */
export interface KeyTableLimits {
    readonly maxEntries: number;
    /** Keeps capacity for other accounts when one account sends a burst of keys. */
    readonly maxEntriesPerAccount: number;
    /** Maximum total size of the stored responses of all entries. */
    readonly maxAnswerBytes: number;
    readonly retentionMs: number;
    /** How long the agent to which a key was delegated may still start it: the lifetime of the issued key. */
    readonly delegationMs: number;
}

/** Limits that an agent uses: at about 300 bytes per entry, at most 6 MB of entries and 8 MB of responses. */
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
    /** The reference is undefined if the response did not fit within the limit of stored response bytes. */
    | { readonly type: "completed"; readonly answerReference: string | undefined; readonly answerBytes: number }
    | { readonly type: "delegated"; readonly delegateKey: string }
    | { readonly type: "unknown" };

interface KeyEntry {
    readonly keyHash: string;
    readonly use: KeyUse;
    readonly state: KeyState;
    /** Monotonic start of the retention; undefined while the request waits or runs. */
    readonly endedAtMs: number | undefined;
}

/**
 * The keys of requests that one agent has received: one entry per (account, service, key). The table is in memory only;
 * {@link KeyAuthority} checks whether a process that has ended may have used a key.
 */
export class KeyTable {
    private readonly entries = new Map<string, KeyEntry>();
    /**
     * Hashes of ended entries in insertion order, for {@link advance}. An entry may be removed later than its retention
     * because of this order, but never earlier.
     */
    private readonly ended = new Set<string>();
    private readonly entriesByAccount = new Map<string, number>();
    private storedResponseBytes = 0;

    public constructor(
        private readonly authority: KeyAuthority,
        private readonly limits: KeyTableLimits,
    ) {}

    /** Number of entries in the table. */
    public get size(): number {
        return this.entries.size;
    }

    /**
     * Decides what to do with a request that has arrived; a decision to run reserves the key for the request.
     * `delegateKey` is an issued key that names another agent; if it is given, a new key is delegated to that agent.
     * Repeats use the first delegate key: if each repeat were delegated under its own key, two agents could run the
     * request.
     */
    public resolve(use: KeyUse, at: Instant, delegateKey?: string): KeyDecision {
        const keyHash = hashKey(use);
        const entry = this.entries.get(keyHash);
        if (entry !== undefined) {
            return resolveRepeat(entry, use);
        }
        const status = this.authority.check(use, at);
        if (status.type === "refused") {
            return { type: "refuse", refusal: status.refusal, homeAgentId: status.homeAgentId };
        }
        const refusal = this.checkCapacity(use.clientAccount);
        if (refusal !== undefined) {
            return { type: "refuse", refusal };
        }
        this.addToAccount(use.clientAccount, 1);
        if (delegateKey !== undefined) {
            const state: KeyState = { type: "delegated", delegateKey };
            // The retention begins at the last moment at which the other agent may start the request. If it began now,
            // this entry could be removed before the retention of that start has passed, and a repeat would run again.
            const endedAtMs = at.nowMs + this.limits.delegationMs;
            this.entries.set(keyHash, { keyHash, use, state, endedAtMs });
            this.ended.add(keyHash);
            return { type: "delegate", keyHash, delegateKey };
        }
        this.entries.set(keyHash, { keyHash, use, state: { type: "waiting" }, endedAtMs: undefined });
        return { type: "run", keyHash };
    }

    /**
     * Must be called in the same turn of the event loop in which the request is sent to the target.
     * Undefined: the request may start. A refusal: it must not start; it has not run here, and the key is released.
     * Checks the authority again because the lease may have expired or another agent may have become the key's owner
     * while the request was queued, and that agent may have started a repeat.
     */
    public start(keyHash: string, at: Instant): Refusal | undefined {
        const entry = this.entries.get(keyHash);
        if (entry?.state.type !== "waiting") {
            return createDuplicateRefusal("unknown", "The key is not waiting to start.");
        }
        const status = this.authority.check(entry.use, at);
        if (status.type === "refused") {
            this.remove(entry);
            return status.refusal;
        }
        this.entries.set(keyHash, { ...entry, state: { type: "running" } });
        return undefined;
    }

    /** Releases a key whose request was withdrawn, refused or cancelled. Returns false if the request had started. */
    public release(keyHash: string): boolean {
        const entry = this.entries.get(keyHash);
        if (entry?.state.type !== "waiting") {
            return false;
        }
        this.remove(entry);
        return true;
    }

    /** Records the outcome of a run. */
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
        this.entries.set(keyHash, { ...entry, state: this.createEndedState(outcome), endedAtMs: nowMs });
    }

    /**
     * Removes entries whose retention has passed, and returns the references of the responses that may be deleted.
     * Entries are never removed earlier to free capacity: a repeat of a removed key would run again.
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

    /** When {@link advance} can next remove an entry; undefined if no entry has ended. */
    public nextTickAtMs(): number | undefined {
        for (const keyHash of this.ended) {
            const endedAtMs = this.entries.get(keyHash)?.endedAtMs;
            return endedAtMs === undefined ? undefined : endedAtMs + this.limits.retentionMs;
        }
        return undefined;
    }

    private createEndedState(outcome: Exclude<KeyOutcome, { readonly type: "not-run" }>): KeyState {
        if (outcome.type === "unknown") {
            return { type: "unknown" };
        }
        if (this.storedResponseBytes + outcome.answerBytes > this.limits.maxAnswerBytes) {
            return { type: "completed", answerReference: undefined, answerBytes: 0 };
        }
        this.storedResponseBytes += outcome.answerBytes;
        return outcome;
    }

    private checkCapacity(clientAccount: string): Refusal | undefined {
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
            this.storedResponseBytes -= entry.state.answerBytes;
        }
    }

    private addToAccount(clientAccount: string, difference: number): void {
        const entryCount = (this.entriesByAccount.get(clientAccount) ?? 0) + difference;
        if (entryCount === 0) {
            this.entriesByAccount.delete(clientAccount);
        } else {
            this.entriesByAccount.set(clientAccount, entryCount);
        }
    }
}

function resolveRepeat(entry: KeyEntry, use: KeyUse): KeyDecision {
    const { keyHash, state } = entry;
    if (entry.use.requestDigest !== use.requestDigest) {
        // Execution is `unknown`, although this body did not run: on `not-run` a caller would send the request again,
        // and a request with this key may have run already.
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
                ? {
                      type: "refuse",
                      refusal: createDuplicateRefusal("ran", "It ran; its answer is no longer kept."),
                  }
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
