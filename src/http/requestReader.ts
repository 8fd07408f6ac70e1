import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { RequestBoundary } from "./requestBoundary.js";
import type { ClientConnectionGuard } from "./clientConnectionGuard.js";

/** Bytes of a body with chunked transfer encoding that are parsed at once; their cost depends on the size of the chunks. */
const pieceBytes = 4_096;
/** Time for which the chunks that have arrived on a connection are parsed before it waits for its turn; milliseconds. */
const maxDirectMs = 1;
/** The same during a turn. */
const maxTurnMs = 5;
/** Memory that a byte of an incomplete head takes: each header is two strings. */
const headMemoryFactor = 4;
/** Memory of the kernel for a connection whose input is not read. */
const kernelBufferBytes = 65_536;
/** Longest wait for a client to close its end of a connection that has been closed here; milliseconds. */
const maxEndingMs = 1_000;
/** Input that is discarded in that time. */
const maxDiscardedBytes = 4_194_304;

/**
 * Reads the requests of one connection, one after the other: the next one is parsed once the response to the previous one has been sent.
 *
 * Node's HTTP server parses all requests that arrive together, and each takes some kilobytes until it has been answered. Here the rest
 * stays in the socket as bytes, and the socket is paused.
 */
export class RequestReader {
    private readonly parse: (data: Buffer) => void;
    private readonly closeAfterWrites: () => void;
    private readonly boundary = new RequestBoundary();
    /** The last request, whose body may be incomplete. */
    private request: IncomingMessage | undefined;
    private readonly openResponses = new Set<ServerResponse>();
    /** Bytes of the body that have not been parsed; undefined with chunked transfer encoding. */
    private remainingBodyBytes: number | undefined;
    private isHeld = false;
    private hasTurn = false;
    private bytesWithoutRequest = 0;
    private heldBytes = 0;
    private discardedBytes: number | undefined;
    private isEnding = false;

    private readonly handleData = (data: Buffer): void => {
        if (this.discardedBytes !== undefined) {
            this.handleDiscarded(data);
        } else if (this.isHeld) {
            this.stopReading(data);
        } else {
            this.parsePieces(data);
        }
    };

    private readonly takeTurn = (): void => {
        this.isHeld = false;
        this.hasTurn = true;
        this.setHeldBytes(0);
        this.socket.resume();
    };

    /** Takes over the input of a connection that the HTTP server has begun to serve. */
    public constructor(
        private readonly socket: Socket,
        private readonly guard: ClientConnectionGuard,
    ) {
        const [parse] = socket.listeners("data") as ((data: Buffer) => void)[];
        this.parse = parse;
        this.closeAfterWrites = socket.destroySoon.bind(socket);
        socket.destroySoon = () => this.close();
        socket.on("data", this.handleData);
        socket.removeListener("data", parse);
        socket.once("close", () => this.release());
    }

    /** Whether input that was sent ahead waits, and no request is open. */
    public get waitsForTurn(): boolean {
        return this.isHeld && !this.hasOpenRequest;
    }

    /** To be called when the server has parsed a head. */
    public handleRequest(request: IncomingMessage, response: ServerResponse): void {
        this.request = request;
        this.remainingBodyBytes =
            request.headers["transfer-encoding"] === undefined
                ? Number(request.headers["content-length"] ?? 0)
                : undefined;
        this.bytesWithoutRequest = 0;
        this.openResponses.add(response);
    }

    /** To be called when a response has been sent, or its connection has been closed. */
    public handleResponseEnd(response: ServerResponse): void {
        this.openResponses.delete(response);
        if (this.hasOpenRequest) {
            return;
        }
        if (this.discardedBytes !== undefined) {
            this.endConnection();
        } else if (this.isHeld) {
            this.guard.turns.add(this.takeTurn);
        }
    }

    /**
     * Drops the input that has not been parsed, and closes the connection: after the response if a request is open, at once if its body
     * is incomplete, as it has not been passed on.
     */
    public refuseInput(): void {
        if (this.discardedBytes !== undefined) {
            return;
        }
        if (this.hasOpenRequest && !this.isReadingBody) {
            this.discardedBytes = 0;
            this.release();
            for (const response of this.openResponses) {
                response.shouldKeepAlive = false;
            }
            // Reads once, so that the input held in the socket is dropped.
            this.socket.resume();
        } else {
            this.endConnection();
        }
    }

    /**
     * Ends the connection, and discards what the client still sends for a time: closing a connection with unread input resets it, and the
     * client may lose the response.
     */
    public endConnection(): void {
        const { socket } = this;
        this.discardedBytes ??= 0;
        this.release();
        if (this.isEnding || socket.destroyed) {
            return;
        }
        this.isEnding = true;
        socket.end(() => {
            const timer = setTimeout(() => socket.destroy(), maxEndingMs);
            socket.once("close", () => clearTimeout(timer));
        });
        socket.resume();
    }

    private parsePieces(data: Buffer): void {
        const { socket, guard } = this;
        let remainingMs = this.hasTurn ? maxTurnMs : maxDirectMs;
        this.hasTurn = false;
        let rest = data;
        while (rest.length > 0) {
            if (!this.isReadingBody && this.hasOpenRequest) {
                this.stopReading(rest);
                return;
            }
            const isChunked = this.isReadingBody && !this.hasKnownLength;
            const startedAtMs = isChunked ? guard.clock.nowMs() : 0;
            const piece = this.takePiece(rest);
            rest = rest.subarray(piece.length);
            this.parse.call(socket, piece);
            if (socket.destroyed || this.discardedBytes !== undefined) {
                return;
            }
            if (rest.length > 0 && socket.isPaused()) {
                // The reader of the body has paused the connection, and resumes it.
                this.setHeldBytes(0);
                socket.unshift(rest);
                return;
            }
            remainingMs -= isChunked ? guard.clock.nowMs() - startedAtMs : 0;
            if (rest.length > 0 && remainingMs <= 0) {
                this.stopReading(rest);
                guard.turns.add(this.takeTurn);
                return;
            }
        }
        this.checkIncompleteHead();
    }

    /** Whether a request of this connection has no complete response. */
    private get hasOpenRequest(): boolean {
        return this.openResponses.size > 0;
    }

    private get isReadingBody(): boolean {
        return this.request?.complete === false;
    }

    private get hasKnownLength(): boolean {
        return this.remainingBodyBytes !== undefined && this.remainingBodyBytes > 0;
    }

    /** The next bytes to be parsed at once; at most one head ends in them. */
    private takePiece(rest: Buffer): Buffer {
        const { boundary, remainingBodyBytes = 0 } = this;
        if (this.isReadingBody && this.hasKnownLength) {
            const piece = rest.subarray(0, remainingBodyBytes);
            this.remainingBodyBytes = remainingBodyBytes - piece.length;
            return piece;
        }
        const scanned = this.isReadingBody ? rest.subarray(0, pieceBytes) : rest;
        const end = boundary.findEnd(scanned);
        if (!this.isReadingBody) {
            this.bytesWithoutRequest += end ?? scanned.length;
        }
        if (end === undefined) {
            boundary.advance(scanned);
            return scanned;
        }
        boundary.clear();
        return scanned.subarray(0, end);
    }

    private checkIncompleteHead(): void {
        const { bytesWithoutRequest, guard } = this;
        if (bytesWithoutRequest > guard.limits.maxBytesWithoutRequest) {
            guard.recordClosure("no-request");
            this.socket.destroy();
            return;
        }
        this.setHeldBytes(this.isReadingBody ? 0 : bytesWithoutRequest * headMemoryFactor);
    }

    /** Keeps input in the socket, and stops to read. */
    private stopReading(rest: Buffer): void {
        const { socket } = this;
        this.isHeld = true;
        socket.pause();
        // A small rest would keep the whole of what was read in memory.
        socket.unshift(rest.length * 2 < rest.buffer.byteLength ? Buffer.from(rest) : rest);
        this.setHeldBytes(socket.readableLength + kernelBufferBytes);
    }

    private handleDiscarded(data: Buffer): void {
        this.discardedBytes = (this.discardedBytes ?? 0) + data.length;
        if (!this.isEnding || this.discardedBytes > maxDiscardedBytes) {
            this.socket.pause();
        }
    }

    /** Closes the connection once what was written has been sent. */
    private close(): void {
        if (this.discardedBytes === undefined && !this.isHeld && !this.isReadingBody) {
            this.closeAfterWrites();
        } else {
            this.endConnection();
        }
    }

    private setHeldBytes(bytes: number): void {
        if (bytes !== this.heldBytes) {
            this.heldBytes = bytes;
            this.guard.setHeldBytes(this, bytes);
        }
    }

    private release(): void {
        this.isHeld = false;
        this.guard.turns.remove(this.takeTurn);
        this.setHeldBytes(0);
    }
}
