import type { Clock } from "../../../src/base/clock.js";

/** One line of the published cache events. */
export interface CacheEvent {
    readonly sequence: number;
    readonly prefixHash: string;
    readonly kind: "stored" | "evicted";
}

const capacity = 32;
const publishLagMs = 500;
const gapEvery = 7;

/** Prompt prefixes in limited memory; its events come late, and every seventh is lost. */
export class PrefixCache {
    private readonly stored = new Set<string>();
    private readonly events: (CacheEvent & { readonly atMs: number })[] = [];
    private sequence = 0;

    public constructor(private readonly clock: Clock) {}

    /** Uses a prefix; returns whether it was there already. */
    public add(prefixHash: string): boolean {
        const hit = this.stored.delete(prefixHash);
        this.stored.add(prefixHash);
        if (!hit) {
            this.addEvent("stored", prefixHash);
        }
        const oldest = this.stored.values().next().value;
        if (this.stored.size > capacity && oldest !== undefined) {
            this.stored.delete(oldest);
            this.addEvent("evicted", oldest);
        }
        return hit;
    }

    /** Events after a sequence number that are old enough to be published. */
    public listEvents(after: number): readonly CacheEvent[] {
        const until = this.clock.nowMs() - publishLagMs;
        return this.events
            .filter(event => event.sequence > after && event.atMs <= until)
            .map(({ sequence, prefixHash, kind }) => ({ sequence, prefixHash, kind }));
    }

    private addEvent(kind: "stored" | "evicted", prefixHash: string): void {
        this.sequence++;
        if (this.sequence % gapEvery !== 0) {
            this.events.push({ sequence: this.sequence, prefixHash, kind, atMs: this.clock.nowMs() });
        }
    }
}
