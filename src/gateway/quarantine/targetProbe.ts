import { connect } from "node:net";

/** Time-out of the connection attempt; milliseconds. It delays the resumption of a caller's stream. */
const probeTimeoutMs = 150;

/** Detects whether a target's process has ended. */
export interface TargetProbe {
    /** Whether the process at `address` (`IP:PORT`) has ended; false also if that can't be determined. */
    hasEnded(address: string): Promise<boolean>;
}

/**
 * Probes a target by connecting to it. A refused connection means that its process has ended. Requests are also disconnected by a
 * reset link, an unreachable data centre or a target that closes connections, but then the probe connects or times out.
 */
export class ConnectProbe implements TargetProbe {
    private readonly pending = new Map<string, Promise<boolean>>();

    /** Disconnects of a target occur together, so that concurrent calls for the same address share one probe. */
    public hasEnded(address: string): Promise<boolean> {
        let probe = this.pending.get(address);
        if (probe === undefined) {
            probe = isRefused(address).finally(() => this.pending.delete(address));
            this.pending.set(address, probe);
        }
        return probe;
    }
}

function isRefused(address: string): Promise<boolean> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = connect({ host, port: Number(port), timeout: probeTimeoutMs });
        const end = (refused: boolean): void => {
            socket.destroy();
            resolve(refused);
        };
        socket.once("connect", () => end(false));
        // After a stall of the event loop timers run before sockets are read, and the refusal may wait there.
        socket.once("timeout", () => setImmediate(end, false));
        socket.once("error", (error: NodeJS.ErrnoException) => end(error.code === "ECONNREFUSED"));
    });
}
