import type { Socket } from "node:net";
import type { Clock } from "../../base/clock.js";

/** Connections that have been idle for less are kept: their callers may be about to send the next request. Milliseconds. */
const minIdleMs = 250;

/**
 * Callers' connections without a request, in the order in which they became idle.
 *
 * Load pattern: an account sends many times its usual, and is refused. Each refused caller retries on a new connection and leaves the old one
 * idle until its time-out, which is many seconds. These connections take up all places of a router, and callers of any account get no connection
 * there. The connections that have been idle longest are closed first, as most of them will never be used again.
 */
export class IdleConnections {
    private readonly idleSinceMs = new Map<Socket, number>();
    private closedCount = 0;

    public constructor(private readonly clock: Clock) {}

    /** Number of connections closed since the start of the process. */
    public get closed(): number {
        return this.closedCount;
    }

    /** The connection waits for its caller's next request. */
    public add(socket: Socket): void {
        this.idleSinceMs.delete(socket);
        this.idleSinceMs.set(socket, this.clock.nowMs());
    }

    /** The connection has a request, or is closed. */
    public remove(socket: Socket): void {
        this.idleSinceMs.delete(socket);
    }

    /** Closes up to `count` connections, those that have been idle longest first. */
    public closeOldest(count: number): void {
        const latestMs = this.clock.nowMs() - minIdleMs;
        let remaining = count;
        for (const [socket, sinceMs] of this.idleSinceMs) {
            if (remaining <= 0 || sinceMs > latestMs) {
                return;
            }
            this.idleSinceMs.delete(socket);
            // Bytes of a request that is just arriving are not read; its caller sends it again on another connection.
            socket.destroy();
            this.closedCount += 1;
            remaining -= 1;
        }
    }
}
