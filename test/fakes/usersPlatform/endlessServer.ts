import { createServer, type Server, type Socket } from "node:net";

/** Where in its answer a target begins to send bytes without end. */
export type EndlessShape =
    | "status-line"
    | "header"
    | "interim"
    | "event"
    | "events"
    | "chunked-events"
    | "tiny-pieces"
    | "unframed"
    | "failure"
    | "chunk-extension"
    | "trailer"
    | "after-end";

const filler = Buffer.alloc(16_384, "x");
/** What of an answer comes before the bytes without end, with the request's id in place of `ID`; and what is repeated then. */
const shapes: Readonly<Record<EndlessShape, readonly [before: string, repeated: Buffer]>> = {
    "status-line": ["HTTP/1.1 200 ", filler],
    header: [createHead("X-Filler: "), filler],
    interim: ["", Buffer.from("HTTP/1.1 102 Processing\r\n\r\n".repeat(500))],
    event: [`${createHead("Content-Type: text/event-stream")}\r\n\r\nid: 1\ndata: `, filler],
    events: [`${createHead("Content-Type: text/event-stream")}\r\n\r\n`, Buffer.from("data: x\n\n".repeat(2_000))],
    "chunked-events": [
        `${createHead("Content-Type: text/event-stream")}\r\nTransfer-Encoding: chunked\r\n\r\n`,
        Buffer.from("9\r\ndata: x\n\n\r\n".repeat(1_000)),
    ],
    "tiny-pieces": [
        `${createHead("Content-Type: text/event-stream")}\r\nTransfer-Encoding: chunked\r\n\r\n`,
        createTinyChunks(),
    ],
    unframed: [`${createHead("Connection: close")}\r\n\r\n`, filler],
    failure: [`${createHead("Connection: close", "500 Internal Server Error")}\r\n\r\n`, filler],
    "chunk-extension": [`${createHead("Transfer-Encoding: chunked")}\r\n\r\n4;x=`, filler],
    trailer: [`${createHead("Transfer-Encoding: chunked")}\r\n\r\n4\r\nbody\r\n0\r\nX-Filler: `, filler],
    "after-end": [`${createHead("Content-Length: 4\r\nKeep-Alive: timeout=5")}\r\n\r\nbody`, filler],
};

/** A target whose answers go on without end, until their connection is closed. */
export class EndlessServer {
    private readonly server: Server = createServer(socket => this.handle(socket));
    private readonly sockets = new Set<Socket>();
    /** Requests that it got. */
    public requests = 0;
    /** Bytes that its connections took, one entry each. */
    public readonly takenBytes: number[] = [];

    /** `pauseMs`: between two writes; 0: as fast as they are taken. */
    public constructor(
        private readonly shape: EndlessShape,
        private readonly pauseMs: number,
    ) {}

    public get address(): string {
        const address = this.server.address();
        return typeof address === "object" && address ? `127.0.0.1:${address.port}` : "";
    }

    public get openConnections(): number {
        return this.sockets.size;
    }

    public start(): Promise<void> {
        return new Promise(resolve => this.server.listen(0, "127.0.0.1", () => resolve()));
    }

    public dispose(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    private handle(socket: Socket): void {
        this.sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => {
            this.sockets.delete(socket);
            this.takenBytes.push(socket.bytesWritten - socket.writableLength);
        });
        let received = "";
        let hasBegun = false;
        socket.on("data", (data: Buffer) => {
            received += data.toString("latin1");
            const id = /x-lynxarch-attempt-id: (\S+)/i.exec(received)?.[1];
            if (!hasBegun && id !== undefined) {
                hasBegun = true;
                this.requests += 1;
                const [before, repeated] = shapes[this.shape];
                socket.write(before.replace("ID", id));
                this.writeOn(socket, repeated);
            }
        });
    }

    private writeOn(socket: Socket, bytes: Buffer): void {
        if (socket.destroyed) {
            return;
        }
        const goOn = (): void => void setTimeout(() => this.writeOn(socket, bytes), this.pauseMs);
        if (socket.write(bytes)) {
            goOn();
        } else {
            socket.once("drain", goOn);
        }
    }
}

function createHead(last: string, status = "200 OK"): string {
    return `HTTP/1.1 ${status}\r\nX-Lynxarch-Attempt-Id: ID\r\nX-Lynxarch-Engine-Stamp: s\r\n${last}`;
}

function createTinyChunks(): Buffer {
    return Buffer.from("1\r\nx\r\n".repeat(2_000));
}
