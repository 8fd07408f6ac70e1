import { createServer, type Server, type Socket } from "node:net";

/** How the server closes a connection. */
export type CloseKind = "end" | "reset";

/** A server that closes each connection after a part of its response, in the middle of the head or behind it. */
export class TruncatingServer {
    private readonly sockets = new Set<Socket>();
    private readonly server: Server = createServer(socket => this.handle(socket));
    /** Number of callers' requests received; a router also asks a new engine for its cached parts. */
    public requests = 0;
    /** Response to all requests, with the request's id in place of `ID`. */
    public response = "";
    public closeKind: CloseKind = "end";
    /** Responses to the first requests, after which the connection stays open. */
    public readonly keptResponses: string[] = [];
    /** Whether the bytes of a response are sent one by one. */
    public isBytewise = false;

    public get address(): string {
        const address = this.server.address();
        return typeof address === "object" && address ? `127.0.0.1:${address.port}` : "";
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
        socket.once("close", () => this.sockets.delete(socket));
        let received = "";
        socket.on("data", (data: Buffer) => {
            received += data.toString("latin1");
            if (received.includes("\r\n\r\n")) {
                const id = /x-lynxarch-attempt-id: (\S+)/i.exec(received)?.[1] ?? "";
                received = "";
                this.requests += id === "" ? 0 : 1;
                const kept = this.keptResponses.shift();
                void this.answer(socket, (kept ?? this.response).replace("ID", id), kept !== undefined);
            }
        });
    }

    private async answer(socket: Socket, response: string, isKept: boolean): Promise<void> {
        socket.setNoDelay(true);
        for (const bytes of this.isBytewise ? response : [response]) {
            await new Promise(resolve => socket.write(bytes, "latin1", resolve));
        }
        if (isKept) {
            return;
        }
        if (this.closeKind === "end") {
            socket.end();
        } else {
            socket.resetAndDestroy();
        }
    }
}
