import { connect, type Socket } from "node:net";
import { BlockBuffer } from "../base/blockBuffer.js";
import type { Disposable } from "../base/lifecycle.js";

/** Receives the result of a connection handover. */
export interface RelayObserver {
    /** The neighbour accepted the connection. */
    handleHandedOver(): void;
    /** The neighbour did not accept the connection: no data was forwarded, and the socket is in its original state. */
    handleUnreachable(socket: Socket): void;
}

/**
 * First byte that a neighbour sends to confirm that it accepts a connection. A neighbour that has just started can't identify senders yet
 * and closes their connections, and a busy one does not read connections that its kernel has accepted. Without this confirmation, a request
 * that was forwarded to such a neighbour would be lost.
 */
export const acceptByte = Buffer.from([0x06]);
/** A neighbour that does not accept a connection within this time is considered busy itself; milliseconds. */
const acceptTimeoutMs = 150;
/**
 * Event loop iterations to wait after a caller's first bytes. If the caller has already closed its connection, the close event arrives
 * within these iterations, and the request is not forwarded: its response would have no recipient.
 */
const iterationsUntilClose = 3;
/** Before a handover, a caller's connection without data for this time is closed, like on an HTTP server's header timeout; milliseconds. */
const firstBytesTimeoutMs = 3_000;
/** Maximum bytes read from a caller before the neighbour accepts; further data stays in the kernel's buffer. */
const maxBufferedBytes = 65_536;

/** Forwards callers' connections to a neighbour as raw bytes, without parsing them. */
export class ConnectionRelay implements Disposable {
    private readonly connections = new Map<Socket, RelayedConnection>();

    /** `ownIp`: source address by which neighbours identify this router. */
    public constructor(
        private readonly ownIp: string,
        private readonly port: number,
    ) {}

    /** Number of connections that are waiting for a neighbour or being forwarded. */
    public get size(): number {
        return this.connections.size;
    }

    /** Number of connections whose caller has sent data; a neighbour has accepted them or is being asked. */
    public get open(): number {
        return [...this.connections.values()].filter(({ hasData }) => hasData).length;
    }

    /** Offers the connection to the neighbour once the caller has sent data. */
    public add(socket: Socket, neighbourIp: string, observer: RelayObserver): void {
        socket.once("close", () => this.connections.delete(socket));
        const relayed = new RelayedConnection(socket, () => {
            const upstream = connect({
                host: neighbourIp,
                port: this.port,
                localAddress: this.ownIp,
                allowHalfOpen: true,
                noDelay: true,
                timeout: acceptTimeoutMs,
            });
            relayed.connect(upstream, {
                handleHandedOver: () => observer.handleHandedOver(),
                handleUnreachable: () => {
                    this.connections.delete(socket);
                    observer.handleUnreachable(socket);
                },
            });
        });
        this.connections.set(socket, relayed);
    }

    /** Closes the connections whose caller has sent nothing. */
    public closeIdle(): void {
        for (const [socket, { hasData }] of this.connections) {
            if (!hasData) {
                socket.destroy();
            }
        }
    }

    public dispose(): void {
        for (const socket of this.connections.keys()) {
            socket.destroy();
        }
    }
}

/** One forwarded connection, from the caller's first bytes until both sides have ended. */
class RelayedConnection {
    private readonly held = new BlockBuffer();
    private isDisconnected = false;
    private isWaiting = false;
    private readonly handleData = (chunk: Buffer): void => this.addBuffered(chunk);
    private readonly handleDisconnect = (): void => {
        this.isDisconnected = true;
        this.socket.destroy();
    };

    /** `onDidRead`: the caller has sent data and is still connected. */
    public constructor(
        private readonly socket: Socket,
        private readonly onDidRead: () => void,
    ) {
        socket.setTimeout(firstBytesTimeoutMs, this.handleDisconnect);
        socket.on("data", this.handleData);
        socket.once("end", this.handleDisconnect);
        socket.on("error", () => socket.destroy());
        socket.once("close", () => (this.isDisconnected = true));
    }

    /** Whether the caller has sent data. */
    public get hasData(): boolean {
        return this.isWaiting;
    }

    /** Waits until the neighbour accepts the connection, then forwards the data in both directions. */
    public connect(upstream: Socket, observer: RelayObserver): void {
        let isDecided = false;
        const end = (handle: () => void): void => {
            if (!isDecided) {
                isDecided = true;
                upstream.setTimeout(0);
                handle();
            }
        };
        upstream.once("data", (first: Buffer) => end(() => this.handleAccepted(upstream, first, observer)));
        upstream.once("timeout", () => upstream.destroy());
        upstream.on("error", () => undefined);
        upstream.once("end", () => upstream.destroy());
        upstream.once("close", () => end(() => this.release(observer)));
        this.socket.once("close", () => upstream.destroy());
    }

    private addBuffered(chunk: Buffer): void {
        this.held.add(chunk);
        if (this.held.length > maxBufferedBytes) {
            this.socket.pause();
        }
        if (!this.isWaiting) {
            this.isWaiting = true;
            this.waitForClose(iterationsUntilClose);
        }
    }

    private waitForClose(iterations: number): void {
        if (this.isDisconnected) {
            return;
        }
        if (iterations === 0) {
            this.onDidRead();
            return;
        }
        setImmediate(() => this.waitForClose(iterations - 1));
    }

    private stopBuffering(): void {
        this.socket.pause();
        this.socket.setTimeout(0);
        this.socket.off("timeout", this.handleDisconnect);
        this.socket.off("data", this.handleData);
        this.socket.off("end", this.handleDisconnect);
    }

    private handleAccepted(upstream: Socket, first: Buffer, observer: RelayObserver): void {
        upstream.pause();
        if (!first.equals(acceptByte)) {
            upstream.destroy();
            this.release(observer);
            return;
        }
        this.stopBuffering();
        if (this.isDisconnected) {
            upstream.destroy();
            return;
        }
        upstream.removeAllListeners("end");
        observer.handleHandedOver();
        this.connectSides(upstream);
    }

    /** Forwards data and end of stream in both directions; an error on either side closes both. */
    private connectSides(upstream: Socket): void {
        const { socket } = this;
        upstream.write(this.held.take());
        socket.pipe(upstream);
        upstream.pipe(socket, { end: false });
        // A reset directly behind the last bytes is reported as a regular end; a connection that was reset has no remote address any more.
        upstream.once("end", () => (upstream.remotePort === undefined ? socket.resetAndDestroy() : socket.end()));
        upstream.once("close", hasError => (hasError ? socket.resetAndDestroy() : socket.destroySoon()));
    }

    private release(observer: RelayObserver): void {
        this.stopBuffering();
        if (this.isDisconnected) {
            return;
        }
        this.socket.unshift(this.held.take());
        observer.handleUnreachable(this.socket);
        this.socket.resume();
    }
}
