/**
 * Answers clients that send more than they may have served: requests sent ahead, and heads that are never complete. Each connection holds
 * little, but hundreds of them together exhaust the process's memory.
 */

/** Bytes of input that connections hold, and the decision which connection to close. Connections that hold nothing are not kept. */
export class InputBudget<Connection> {
    private readonly connections = new Map<Connection, number>();
    private heldBytes = 0;

    /** `getMaxBytes`: size of the budget, which may change with the settings. */
    public constructor(private readonly getMaxBytes: () => number) {}

    /** Bytes that all connections hold. */
    public get bytes(): number {
        return this.heldBytes;
    }

    /** Number of connections that hold input. */
    public get size(): number {
        return this.connections.size;
    }

    /** Sets what a connection holds; 0 if it holds nothing any more. */
    public setBytes(connection: Connection, bytes: number): void {
        this.heldBytes += bytes - (this.connections.get(connection) ?? 0);
        if (bytes === 0) {
            this.connections.delete(connection);
        } else {
            this.connections.set(connection, bytes);
        }
    }

    /** The connection to close while the budget is exceeded: the one that holds most; undefined if the budget is kept. */
    public findConnectionToClose(): Connection | undefined {
        if (this.heldBytes <= this.getMaxBytes()) {
            return undefined;
        }
        let largest: readonly [Connection, number] | undefined;
        for (const entry of this.connections) {
            if (largest === undefined || entry[1] > largest[1]) {
                largest = entry;
            }
        }
        return largest?.[0];
    }
}
