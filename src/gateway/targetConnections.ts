import type { Disposable } from "../base/lifecycle.js";
import { TargetConnection, type ConnectionLimits } from "./targetConnection.js";

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
     * A connection that can take a request: the one used last, so that those that are not needed time out, or else a new
     * one. `maxIdleMs`: one that was idle for longer is passed over. Undefined: there are `limit` connections already.
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
     * Closes what is idle. After one connection went silent the others that were opened before it have probably gone silent
     * too, and each request sent there would wait out its timeout.
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

    /** A connection that carries a request when its target has left is closed once it is free. */
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
