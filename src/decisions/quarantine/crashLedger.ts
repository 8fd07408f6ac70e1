/**
 * Which requests end the targets that run them (queries of death), by the crashes seen under them.
 *
 * Load pattern: a request crashes each target that runs it, and its caller sends it again with new ids, to any router. Bounded by
 * attempts for each id alone, one such request takes down a fleet, and all streams with it.
 *
 * Evidence is a set of target incarnations that ended while they ran the request; sets merge by union, so that reports may be lost,
 * repeated and reordered. What ran beside such a request on a target that ended looks the same, so that a request is held only
 * after several incarnations, a run that had given output before counts less, and a whole answer clears it.
 */
import { LRUCache } from "lru-cache";

/** One incarnation of a target that ended under a request. */
export interface CrashEvidence {
    /** Of account, method, path and body. */
    readonly digest: string;
    /** 32-bit hash of account, method and path: tells whether a digest is worth computing. */
    readonly prefixHash: number;
    /** 32-bit hash of the target's incarnation. */
    readonly incarnation: number;
    /** How much it speaks against the request, above 0 to 1. */
    readonly weight: number;
}

/** How a request stands. */
export type RequestStatus =
    /** Nothing speaks against it. */
    | "clear"
    /** A target ended under it; each router runs it once at a time. */
    | "suspect"
    /** One further crash would hold it; one router runs it, once at a time. */
    | "strong-suspect"
    /** It ended several targets; nobody runs it. */
    | "held"
    /** It was held long enough to be tried once, at one place. */
    | "probe";

/** A request that is held, for operators and for the platform's store. */
export interface HeldRequest {
    readonly digest: string;
    readonly prefixHash: number;
    readonly incarnations: readonly number[];
    /** Time until it may be tried again, and how long it was held for; milliseconds. */
    readonly leftMs: number;
    readonly holdMs: number;
}

/** Weight of a run without output, and of one that had given some. */
export const noOutputRunWeight = 1;
export const partialOutputRunWeight = 0.5;
/**
 * Evidence from which on a request is held. Every two held requests of the same account, method and path lower it by one: an account
 * that sends many different such requests would otherwise end three targets with each of them.
 */
const heldFrom = 3;
const leastHeldFrom = 1;
const heldToLower = 2;
const suspectFrom = 1;
const strongSuspectMargin = 1;
/** A trial may cost a target and all its streams, so that it comes rarely. */
const firstHoldMs = 600_000;
const longestHoldMs = 21_600_000;
/** Evidence that is not followed by more is forgotten. */
const evidenceTtlMs = 3_600_000;
/** Requests that are remembered; beyond it the ones that were seen least lately are forgotten. */
const mostRequests = 2_000;
/** A cleared request ignores evidence that was reported before it was cleared for so long. */
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

/** Keeps evidence, and decides who is held. */
export class CrashLedger {
    private readonly entries = new LRUCache<string, Entry>({
        max: mostRequests,
        dispose: entry => this.removePrefix(entry.prefixHash),
    });
    private readonly prefixes = new Map<number, number>();
    private readonly tombstones = new LRUCache<string, Tombstone>({ max: mostRequests });

    /** Whether anything is known of a request with this prefix. */
    public hasPrefix(prefixHash: number): boolean {
        return this.prefixes.has(prefixHash);
    }

    /** Adds evidence; true if the request is held because of it. */
    public record(evidence: CrashEvidence, nowMs: number): boolean {
        const { digest, incarnation, weight } = evidence;
        if (this.isVoid(digest, incarnation, nowMs)) {
            return false;
        }
        const entry = this.openEntry(evidence, nowMs);
        const known = entry.weights.get(incarnation) ?? 0;
        if (known >= weight) {
            return false;
        }
        entry.weights.set(incarnation, weight);
        entry.lastAtMs = nowMs;
        const isNew = known === 0 && entry.heldUntilMs <= nowMs;
        if (computeScore(entry) < this.computeHeldFrom(entry, nowMs) || !isNew) {
            return false;
        }
        entry.holdMs = entry.holdMs === 0 ? firstHoldMs : Math.min(longestHoldMs, entry.holdMs * 2);
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
        if (score < suspectFrom) {
            return "clear";
        }
        return score + strongSuspectMargin < this.computeHeldFrom(entry, nowMs) ? "suspect" : "strong-suspect";
    }

    /** The request was answered as a whole, or an operator released it. False: nothing was known of it. */
    public remove(digest: string, nowMs: number): boolean {
        const entry = this.entries.peek(digest);
        if (entry === undefined) {
            return false;
        }
        this.tombstones.set(digest, { incarnations: new Set(entry.weights.keys()), untilMs: nowMs + tombstoneMs });
        this.entries.delete(digest);
        return true;
    }

    /** Takes a request that was held before this process started. */
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

    /** Requests that are held or wait for a probe. */
    public listHeld(nowMs: number): readonly HeldRequest[] {
        return [...this.entries.entries()]
            .filter(([, entry]) => entry.heldUntilMs > 0)
            .map(([digest, entry]) => createHeld(digest, entry, nowMs));
    }

    /** The request if it is held or waits for a probe. */
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

    private computeHeldFrom({ prefixHash }: Entry, nowMs: number): number {
        let heldCount = 0;
        for (const other of this.prefixes.has(prefixHash) ? this.entries.values() : []) {
            heldCount += other.prefixHash === prefixHash && nowMs < other.heldUntilMs ? 1 : 0;
        }
        return Math.max(leastHeldFrom, heldFrom - Math.floor(heldCount / heldToLower));
    }

    private isVoid(digest: string, incarnation: number, nowMs: number): boolean {
        const tombstone = this.tombstones.get(digest);
        return tombstone !== undefined && nowMs < tombstone.untilMs && tombstone.incarnations.has(incarnation);
    }

    private removePrefix(prefixHash: number): void {
        const left = (this.prefixes.get(prefixHash) ?? 1) - 1;
        if (left > 0) {
            this.prefixes.set(prefixHash, left);
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
