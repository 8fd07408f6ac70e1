import { connect } from "node:net";

/** Longest wait for a connection; a caller waits for it before its stream is resumed. */
const probeTimeoutMs = 150;

/** Finds out whether a target's process has ended. */
export interface TargetProbe {
    /** `address`: `IP:PORT`. False also if that can't be known. */
    hasEnded(address: string): Promise<boolean>;
}

/**
 * Connects to the target. A refused connection means that its process is gone. A reset link, a data centre that is cut off or a
 * target that closes connections breaks requests as well, but connects, or does not answer.
 */
export class ConnectProbe implements TargetProbe {
    private readonly pending = new Map<string, Promise<boolean>>();

    /** Breaks of one target come together; they share one connection. */
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
        socket.once("timeout", () => end(false));
        socket.once("error", (error: NodeJS.ErrnoException) => end(error.code === "ECONNREFUSED"));
    });
}
