import type { Disposable } from "../base/lifecycle.js";
import { TargetConnection, type ConnectionLimits } from "./targetConnection.js";

/**
 * Maximum idle time of a connection for a request that must not be executed twice. The target may have closed a connection that was
 * idle for longer; the request would fail and could not be sent again.
 */
const maxIdleIfNotRepeatableMs = 250;
const maxIdleIfRepeatableMs = 60_000;

/** Maximum time for which a connection may have been idle to carry a request; milliseconds. */
export function computeMaxIdleMs(isRepeatable: boolean): number {
    return isRepeatable ? maxIdleIfRepeatableMs : maxIdleIfNotRepeatableMs;
}

/** The connections to one target. */
export class TargetConnections implements Disposable {
    private readonly connections = new Set<TargetConnection>();
    private disposed = false;

    public constructor(
        private readonly address: string,
        private readonly limits: ConnectionLimits,
    ) {}

    public get size(): number {
        return this.connections.size;
    }

    /**
     * Returns the idle connection that was used last, so that unneeded connections time out, or else a new connection.
     * `maxIdleMs`: connections that were idle for longer are skipped. Undefined if all of `limit` connections are in use.
     */
    public open(limit: number, maxIdleMs: number, nowMs: number): TargetConnection | undefined {
        let newest: TargetConnection | undefined;
        for (const connection of this.connections) {
            if (connection.isUsable && connection.lastUsedAtMs > (newest?.lastUsedAtMs ?? nowMs - maxIdleMs)) {
                newest = connection;
            }
        }
        if (newest !== undefined) {
            return newest;
        }
        if (this.connections.size >= limit && !this.closeOneIdle()) {
            return undefined;
        }
        const connection = new TargetConnection(this.address, this.limits, closed => this.connections.delete(closed));
        this.connections.add(connection);
        return connection;
    }

    /**
     * Closes the idle connections. After one connection became unresponsive, the others have probably become unresponsive
     * too, and each request sent over them would wait for its time-out.
     */
    public closeIdle(): void {
        for (const connection of [...this.connections]) {
            if (connection.isUsable) {
                connection.dispose();
            }
        }
    }

    public dispose(): void {
        if (this.disposed) {
            return;
        }
        this.disposed = true;
        this.closeIdle();
    }

    /** Marks a connection as idle; closes it if the target has been removed while it was in use. */
    public release(connection: TargetConnection, nowMs: number): void {
        connection.lastUsedAtMs = nowMs;
        if (this.disposed && connection.isUsable) {
            connection.dispose();
        }
    }

    private closeOneIdle(): boolean {
        for (const connection of this.connections) {
            if (connection.isUsable) {
                connection.dispose();
                return true;
            }
        }
        return false;
    }
}
