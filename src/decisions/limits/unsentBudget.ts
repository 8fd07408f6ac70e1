/**
 * Answers slow readers: bytes that a router holds because a peer does not read them. Without a bound over all streams, some thousand
 * callers that read slowly exhaust the process's memory although each stays within its own bound.
 */

/** Part of the budget that one account may hold while other accounts hold anything. */
const accountShare = 0.25;

/** Which bound a stream exceeds: its account's part of the budget, or the budget itself. */
export type ExceededBound = "account" | "router";

/** A stream to end, and why. */
export interface StreamToEnd<Stream> {
    readonly stream: Stream;
    readonly account: string;
    readonly bytes: number;
    readonly bound: ExceededBound;
}

interface HeldStream {
    readonly account: string;
    bytes: number;
    /** Last time at which the reader took bytes, or at which the stream began to hold some. */
    progressAtMs: number;
}

/** Unsent bytes of all streams of a router, and the decision which stream to end. Streams without unsent bytes are not kept. */
export class UnsentBudget<Stream> {
    private readonly accounts = new Map<string, Map<Stream, HeldStream>>();
    private readonly streams = new Map<Stream, HeldStream>();
    private readonly accountBytes = new Map<string, number>();
    private heldBytes = 0;

    /** `getMaxBytes`: size of the budget, which may change with the router's settings. */
    public constructor(private readonly getMaxBytes: () => number) {}

    /** Unsent bytes of all streams. */
    public get bytes(): number {
        return this.heldBytes;
    }

    public getBytes(stream: Stream): number {
        return this.streams.get(stream)?.bytes ?? 0;
    }

    public getAccountBytes(account: string): number {
        return this.accountBytes.get(account) ?? 0;
    }

    /** A stream's unsent bytes after data was added; this is no progress of its reader unless they are fewer than before. */
    public recordWrite(stream: Stream, account: string, bytes: number, nowMs: number): void {
        const held = this.streams.get(stream) ?? this.add(stream, account, bytes, nowMs);
        if (bytes < held.bytes) {
            held.progressAtMs = nowMs;
        }
        this.setBytes(stream, held, bytes);
    }

    /** A stream's unsent bytes after its reader took some. */
    public recordProgress(stream: Stream, bytes: number, nowMs: number): void {
        const held = this.streams.get(stream);
        if (held !== undefined) {
            held.progressAtMs = nowMs;
            this.setBytes(stream, held, bytes);
        }
    }

    /** The stream's bytes are no longer held. */
    public remove(stream: Stream): void {
        const held = this.streams.get(stream);
        if (held !== undefined) {
            this.setBytes(stream, held, 0);
        }
    }

    /**
     * The stream to end first while a bound is exceeded: of the account that holds most, the one that has gone longest without
     * progress. Undefined if all bounds are kept.
     */
    public findStreamToEnd(): StreamToEnd<Stream> | undefined {
        const maxBytes = this.getMaxBytes();
        const maxAccountBytes = maxBytes * accountShare;
        // No account can exceed its part while all together hold less than that; this is the usual case.
        if (this.heldBytes <= maxAccountBytes) {
            return undefined;
        }
        const largest = this.findLargestAccount();
        if (largest === undefined) {
            return undefined;
        }
        const [account, bytes] = largest;
        const isAccountOver = this.accountBytes.size > 1 && bytes > maxAccountBytes;
        if (!isAccountOver && this.heldBytes <= maxBytes) {
            return undefined;
        }
        const bound = isAccountOver ? "account" : "router";
        const found = this.findWithoutProgress(account);
        return found === undefined ? undefined : { ...found, account, bound };
    }

    private add(stream: Stream, account: string, bytes: number, nowMs: number): HeldStream {
        const held = { account, bytes: 0, progressAtMs: nowMs };
        if (bytes > 0) {
            this.streams.set(stream, held);
            const ofAccount = this.accounts.get(account) ?? new Map<Stream, HeldStream>();
            this.accounts.set(account, ofAccount.set(stream, held));
        }
        return held;
    }

    private setBytes(stream: Stream, held: HeldStream, bytes: number): void {
        const { account } = held;
        const change = bytes - held.bytes;
        held.bytes = bytes;
        this.heldBytes += change;
        const ofAccount = this.getAccountBytes(account) + change;
        if (ofAccount > 0) {
            this.accountBytes.set(account, ofAccount);
        } else {
            this.accountBytes.delete(account);
        }
        if (bytes === 0) {
            this.streams.delete(stream);
            this.accounts.get(account)?.delete(stream);
            if (this.accounts.get(account)?.size === 0) {
                this.accounts.delete(account);
            }
        }
    }

    private findLargestAccount(): readonly [account: string, bytes: number] | undefined {
        let largest: readonly [string, number] | undefined;
        for (const entry of this.accountBytes) {
            if (largest === undefined || entry[1] > largest[1]) {
                largest = entry;
            }
        }
        return largest;
    }

    private findWithoutProgress(account: string): { readonly stream: Stream; readonly bytes: number } | undefined {
        let oldest: readonly [Stream, HeldStream] | undefined;
        for (const entry of this.accounts.get(account) ?? []) {
            if (oldest === undefined || entry[1].progressAtMs < oldest[1].progressAtMs) {
                oldest = entry;
            }
        }
        return oldest === undefined ? undefined : { stream: oldest[0], bytes: oldest[1].bytes };
    }
}
