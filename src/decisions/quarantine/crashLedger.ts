/**
 * Identifies requests that crash the targets that run them (queries of death), based on the crashes that occurred
 * during their runs.
 *
 * Load pattern: a request crashes each target that runs it, and its caller sends it again with new ids, to any router.
 * If only the attempts per id were limited, one such request would take down a fleet and all its streams.
 *
 * Evidence is a set of target incarnations that ended while they ran the request. Sets are merged by union, so reports
 * may be lost, repeated and reordered. Requests that were running beside the crashing one when the target ended look
 * the same. A request is therefore held only after several incarnations, a run that had produced output counts less,
 * and a complete response clears the request.
 */
import { LRUCache } from "lru-cache";

/** One incarnation of a target that ended while it ran a request. */
export interface CrashEvidence {
    /** Digest of account, method, path and body. */
    readonly digest: string;
    /** 32-bit hash of account, method and path; shows whether a digest is worth computing. */
    readonly prefixHash: number;
    /** 32-bit hash of the target's incarnation. */
    readonly incarnation: number;
    /** Weight of the evidence against the request, greater than 0 and at most 1. */
    readonly weight: number;
}

/** The status of a request with respect to target crashes. */
export type RequestStatus =
    /** There is not enough evidence against it. */
    | "clear"
    /** A target ended while it ran the request; each router runs it only once at a time. */
    | "suspect"
    /** One more crash would cause a hold; a single router runs it, only once at a time. */
    | "strong-suspect"
    /** Several targets ended while they ran the request; no router runs it. */
    | "held"
    /** The hold has expired; it may be tried once, by a single router. */
    | "probe";

/** A held request, for operators and for the platform's store. */
export interface HeldRequest {
    readonly digest: string;
    readonly prefixHash: number;
    readonly incarnations: readonly number[];
    /** `leftMs`: time until the request may be tried again; `holdMs`: total duration of the hold. Milliseconds. */
    readonly leftMs: number;
    readonly holdMs: number;
}

/** Weight of the evidence from a run without output. */
export const noOutputRunWeight = 1;
/** Weight of the evidence from a run that had produced some output. */
export const partialOutputRunWeight = 0.5;
/**
 * Evidence from which a request is held. Every two held requests of the same account, method and path lower this
 * threshold by one: an account that sends many different such requests would otherwise end three targets with each of
 * them.
 */
const holdThreshold = 3;
const minHoldThreshold = 1;
const heldPerThresholdStep = 2;
const suspectThreshold = 1;
const strongSuspectMargin = 1;
/** Duration of the first hold in milliseconds. A trial may end a target and all its streams, so trials are rare. */
const initialHoldMs = 600_000;
const maxHoldMs = 21_600_000;
/** Evidence expires after this time in milliseconds if no more is recorded. */
const evidenceTtlMs = 3_600_000;
/** Maximum number of requests with evidence; the least recently used ones are evicted. */
const maxRequests = 2_000;
/** Evidence against a cleared request from incarnations recorded before is ignored for this long, in milliseconds. */
const tombstoneMs = 5_000;

interface Entry {
    readonly prefixHash: number;
    readonly weights: Map<number, number>;
    lastAtMs: number;
    holdMs: number;
    heldUntilMs: number;
}

interface Tombstone {
    readonly incarnations: ReadonlySet<number>;
    readonly untilMs: number;
}

/** Stores crash evidence and decides which requests are held. */
export class CrashLedger {
    private readonly entries = new LRUCache<string, Entry>({
        max: maxRequests,
        dispose: entry => this.removePrefix(entry.prefixHash),
    });
    private readonly prefixes = new Map<number, number>();
    private readonly tombstones = new LRUCache<string, Tombstone>({ max: maxRequests });

    /** Whether there is evidence against any request with this prefix. */
    public hasPrefix(prefixHash: number): boolean {
        return this.prefixes.has(prefixHash);
    }

    /** Adds evidence. Returns true if it caused the request to be held. */
    public record(evidence: CrashEvidence, nowMs: number): boolean {
        const { digest, incarnation, weight } = evidence;
        if (this.isIgnored(digest, incarnation, nowMs)) {
            return false;
        }
        const entry = this.openEntry(evidence, nowMs);
        const knownWeight = entry.weights.get(incarnation) ?? 0;
        if (knownWeight >= weight) {
            return false;
        }
        entry.weights.set(incarnation, weight);
        entry.lastAtMs = nowMs;
        const isNew = knownWeight === 0 && entry.heldUntilMs <= nowMs;
        if (computeScore(entry) < this.computeHoldThreshold(entry, nowMs) || !isNew) {
            return false;
        }
        entry.holdMs = entry.holdMs === 0 ? initialHoldMs : Math.min(maxHoldMs, entry.holdMs * 2);
        entry.heldUntilMs = nowMs + entry.holdMs;
        return true;
    }

    public check(digest: string, nowMs: number): RequestStatus {
        const entry = this.findEntry(digest, nowMs);
        if (entry === undefined) {
            return "clear";
        }
        if (entry.heldUntilMs > 0) {
            return nowMs < entry.heldUntilMs ? "held" : "probe";
        }
        const score = computeScore(entry);
        if (score < suspectThreshold) {
            return "clear";
        }
        return score + strongSuspectMargin < this.computeHoldThreshold(entry, nowMs) ? "suspect" : "strong-suspect";
    }

    /**
     * Clears a request after a complete response or a release by an operator. Returns false if there was no evidence
     * against it.
     */
    public remove(digest: string, nowMs: number): boolean {
        const entry = this.entries.peek(digest);
        if (entry === undefined) {
            return false;
        }
        this.tombstones.set(digest, { incarnations: new Set(entry.weights.keys()), untilMs: nowMs + tombstoneMs });
        this.entries.delete(digest);
        return true;
    }

    /** Restores a request that was held before this process started. */
    public applyStored({ digest, prefixHash, incarnations, leftMs, holdMs }: HeldRequest, nowMs: number): void {
        for (const incarnation of incarnations) {
            this.record({ digest, prefixHash, incarnation, weight: noOutputRunWeight }, nowMs);
        }
        const entry = this.entries.peek(digest);
        if (entry !== undefined) {
            entry.holdMs = Math.max(entry.holdMs, holdMs);
            entry.heldUntilMs = nowMs + leftMs;
        }
    }

    /** Requests that are held or waiting for a probe. */
    public listHeld(nowMs: number): readonly HeldRequest[] {
        return [...this.entries.entries()]
            .filter(([, entry]) => entry.heldUntilMs > 0)
            .map(([digest, entry]) => createHeld(digest, entry, nowMs));
    }

    /** The request, if it is held or waiting for a probe. */
    public findHeld(digest: string, nowMs: number): HeldRequest | undefined {
        const entry = this.findEntry(digest, nowMs);
        return entry === undefined || entry.heldUntilMs === 0 ? undefined : createHeld(digest, entry, nowMs);
    }

    private findEntry(digest: string, nowMs: number): Entry | undefined {
        const entry = this.entries.get(digest);
        if (entry !== undefined && nowMs > Math.max(entry.lastAtMs, entry.heldUntilMs) + evidenceTtlMs) {
            this.entries.delete(digest);
            return undefined;
        }
        return entry;
    }

    private openEntry({ digest, prefixHash }: CrashEvidence, nowMs: number): Entry {
        let entry = this.findEntry(digest, nowMs);
        if (entry === undefined) {
            entry = { prefixHash, weights: new Map(), lastAtMs: nowMs, holdMs: 0, heldUntilMs: 0 };
            this.entries.set(digest, entry);
            this.prefixes.set(prefixHash, (this.prefixes.get(prefixHash) ?? 0) + 1);
        }
        return entry;
    }

    private computeHoldThreshold({ prefixHash }: Entry, nowMs: number): number {
        let heldCount = 0;
        for (const other of this.prefixes.has(prefixHash) ? this.entries.values() : []) {
            heldCount += other.prefixHash === prefixHash && nowMs < other.heldUntilMs ? 1 : 0;
        }
        return Math.max(minHoldThreshold, holdThreshold - Math.floor(heldCount / heldPerThresholdStep));
    }

    private isIgnored(digest: string, incarnation: number, nowMs: number): boolean {
        const tombstone = this.tombstones.get(digest);
        return tombstone !== undefined && nowMs < tombstone.untilMs && tombstone.incarnations.has(incarnation);
    }

    private removePrefix(prefixHash: number): void {
        const remaining = (this.prefixes.get(prefixHash) ?? 1) - 1;
        if (remaining > 0) {
            this.prefixes.set(prefixHash, remaining);
        } else {
            this.prefixes.delete(prefixHash);
        }
    }
}

function computeScore({ weights }: Entry): number {
    return [...weights.values()].reduce((sum, weight) => sum + weight, 0);
}

function createHeld(digest: string, { prefixHash, weights, heldUntilMs, holdMs }: Entry, nowMs: number): HeldRequest {
    return {
        digest,
        prefixHash,
        incarnations: [...weights.keys()],
        leftMs: Math.max(0, heldUntilMs - nowMs),
        holdMs,
    };
}
