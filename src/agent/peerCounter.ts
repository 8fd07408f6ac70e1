/** A router that was not heard of for this long is gone; milliseconds. Above the longest period of the exchange. */
const goneAfterMs = 120_000;

/** Counts the routers that exchange with this agent. */
export class PeerCounter {
    private readonly heardAtMs = new Map<string, number>();

    /** Number of routers heard of lately. */
    public get size(): number {
        return this.heardAtMs.size;
    }

    /** Notes that a router was heard of; the one that was silent longest is first in the map. */
    public observe(routerId: string, nowMs: number): void {
        this.heardAtMs.delete(routerId);
        this.heardAtMs.set(routerId, nowMs);
        for (const [other, heardAtMs] of this.heardAtMs) {
            if (nowMs - heardAtMs <= goneAfterMs) {
                return;
            }
            this.heardAtMs.delete(other);
        }
    }
}
