/** A router that was not heard of for this long is gone; milliseconds. Above the longest period of the exchange. */
const goneAfterMs = 120_000;

/** Counts the routers that exchange with this agent. */
export class PeerCounter {
    private readonly receivedAtMs = new Map<string, number>();

    /** Number of routers heard of lately. */
    public get size(): number {
        return this.receivedAtMs.size;
    }

    /** Notes that a router was heard of; the one that was silent longest is first in the map. */
    public observe(routerId: string, nowMs: number): void {
        this.receivedAtMs.delete(routerId);
        this.receivedAtMs.set(routerId, nowMs);
        for (const [other, receivedAtMs] of this.receivedAtMs) {
            if (nowMs - receivedAtMs <= goneAfterMs) {
                return;
            }
            this.receivedAtMs.delete(other);
        }
    }
}
