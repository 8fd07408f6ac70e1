import { connect, type Socket } from "node:net";
import type { Disposable } from "../base/lifecycle.js";

/** What becomes of a connection that is to be handed over. */
export interface RelayObserver {
    /** The neighbour has the connection. */
    handleHandedOver(): void;
    /** The neighbour could not be reached: nothing was passed on, and the socket is as it was. */
    handleUnreachable(socket: Socket): void;
}

/**
 * What a neighbour sends first when it takes a connection. One that has just started does not know its senders yet, and one that is busy
 * does not read what its kernel has accepted: without the byte a request that was passed on there would be lost.
 */
export const acceptByte = Buffer.from([0x06]);
/** A neighbour that does not take a connection within this time is busy itself; milliseconds. */
const acceptTimeoutMs = 150;
/**
 * Turns of the event loop after a caller's first bytes within which the end of its connection is read, if it closed before: its
 * request must not be worked on for nobody.
 */
const turnsUntilClose = 3;
/** A caller that sends nothing for so long is closed, as a server closes it whose header is overdue; milliseconds. */
const firstBytesTimeoutMs = 3_000;
/** Read of a caller before its neighbour is connected; the rest stays in the kernel. */
const mostHeldBytes = 65_536;

/** Passes whole connections of callers on to a neighbour, byte by byte and unread. */
export class ConnectionRelay implements Disposable {
    private readonly sockets = new Set<Socket>();
    private passedOn = 0;

    /** `ownIp`: the address that neighbours know this router by. */
    public constructor(
        private readonly ownIp: string,
        private readonly port: number,
    ) {}

    /** Connections that are to be passed on, or are being so. */
    public get size(): number {
        return this.sockets.size;
    }

    /** Connections that neighbours have. */
    public get open(): number {
        return this.passedOn;
    }

    public add(socket: Socket, neighbourIp: string, observer: RelayObserver): void {
        this.sockets.add(socket);
        socket.once("close", () => this.sockets.delete(socket));
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
                handleHandedOver: () => {
                    this.passedOn += 1;
                    socket.once("close", () => (this.passedOn -= 1));
                    observer.handleHandedOver();
                },
                handleUnreachable: () => {
                    this.sockets.delete(socket);
                    observer.handleUnreachable(socket);
                },
            });
        });
    }

    public dispose(): void {
        this.sockets.forEach(socket => socket.destroy());
    }
}

/** One connection, from the caller's first bytes to the end of both sides. */
class RelayedConnection {
    private readonly held: Buffer[] = [];
    private heldBytes = 0;
    private hasLeft = false;
    private isWaiting = false;
    private readonly handleData = (chunk: Buffer): void => this.addHeld(chunk);
    private readonly handleLeft = (): void => {
        this.hasLeft = true;
        this.socket.destroy();
    };

    /** `onDidRead`: the caller has sent something and is still there. */
    public constructor(
        private readonly socket: Socket,
        private readonly onDidRead: () => void,
    ) {
        socket.setTimeout(firstBytesTimeoutMs, this.handleLeft);
        socket.on("data", this.handleData);
        socket.once("end", this.handleLeft);
        socket.on("error", () => socket.destroy());
        socket.once("close", () => (this.hasLeft = true));
    }

    public connect(upstream: Socket, observer: RelayObserver): void {
        let isOver = false;
        const end = (handle: () => void): void => {
            if (!isOver) {
                isOver = true;
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

    private addHeld(chunk: Buffer): void {
        this.held.push(chunk);
        this.heldBytes += chunk.length;
        if (this.heldBytes > mostHeldBytes) {
            this.socket.pause();
        }
        if (!this.isWaiting) {
            this.isWaiting = true;
            this.waitForClose(turnsUntilClose);
        }
    }

    private waitForClose(turns: number): void {
        if (this.hasLeft) {
            return;
        }
        if (turns === 0) {
            this.onDidRead();
            return;
        }
        setImmediate(() => this.waitForClose(turns - 1));
    }

    private stopHolding(): void {
        this.socket.pause();
        this.socket.setTimeout(0);
        this.socket.off("timeout", this.handleLeft);
        this.socket.off("data", this.handleData);
        this.socket.off("end", this.handleLeft);
    }

    private handleAccepted(upstream: Socket, first: Buffer, observer: RelayObserver): void {
        upstream.pause();
        if (!first.equals(acceptByte)) {
            upstream.destroy();
            this.release(observer);
            return;
        }
        this.stopHolding();
        if (this.hasLeft) {
            upstream.destroy();
            return;
        }
        upstream.removeAllListeners("end");
        observer.handleHandedOver();
        this.connectSides(upstream);
    }

    /** The end of either side is passed on as it comes; a break ends both. */
    private connectSides(upstream: Socket): void {
        const { socket } = this;
        upstream.write(Buffer.concat(this.held.splice(0)));
        socket.pipe(upstream);
        upstream.pipe(socket);
        upstream.once("close", hasError => (hasError ? socket.resetAndDestroy() : socket.destroySoon()));
    }

    private release(observer: RelayObserver): void {
        this.stopHolding();
        if (this.hasLeft) {
            return;
        }
        this.socket.unshift(Buffer.concat(this.held.splice(0)));
        observer.handleUnreachable(this.socket);
        this.socket.resume();
    }
}
