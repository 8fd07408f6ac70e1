import { connect, type Socket } from "node:net";

/** What each client of a crowd sends on its connection, and whether it reads what comes back. */
export interface ClientBehaviour {
    /** Sent once, before {@link repeated}. */
    readonly opening?: string;
    /** Sent again and again, without waiting for answers. */
    readonly repeated: string;
    readonly bytesPerClient: number;
    readonly readsAnswers: boolean;
}

const blockBytes = 65_536;
/** A client that could not send anything for this time has been stopped by the server; milliseconds. */
const stalledMs = 1_500;
/** Longest time for which a crowd is played; milliseconds. */
const maxCrowdMs = 10_000;
const pollMs = 50;

/** Clients that send more than a server wants to read. */
export class ClientCrowd {
    private readonly sockets: Socket[] = [];
    private lastSentAtMs = performance.now();

    public constructor(
        private readonly port: number,
        private readonly host = "127.0.0.1",
    ) {}

    /** Number of connections that the server has not closed. */
    public get open(): number {
        return this.sockets.filter(socket => !socket.destroyed).length;
    }

    /** Connects clients, and waits until they can send no more. */
    public async run(count: number, behaviour: ClientBehaviour): Promise<void> {
        for (let index = 0; index < count; index++) {
            this.addClient(behaviour);
        }
        const endAtMs = performance.now() + maxCrowdMs;
        while (this.open > 0 && performance.now() < endAtMs && performance.now() - this.lastSentAtMs < stalledMs) {
            await new Promise(resolve => setTimeout(resolve, pollMs));
        }
    }

    public dispose(): void {
        this.sockets.forEach(socket => socket.destroy());
    }

    private addClient({ opening = "", repeated, bytesPerClient, readsAnswers }: ClientBehaviour): void {
        const socket = connect({ port: this.port, host: this.host });
        this.sockets.push(socket);
        const block = Buffer.from(repeated.repeat(Math.ceil(blockBytes / Math.max(1, repeated.length))));
        let sentBytes = 0;
        const write = (): void => {
            this.lastSentAtMs = performance.now();
            let isTaken = true;
            while (isTaken && !socket.destroyed && block.length > 0 && sentBytes < bytesPerClient) {
                sentBytes += block.length;
                isTaken = socket.write(block);
            }
        };
        socket.on("error", () => undefined);
        socket.once("connect", () => {
            socket.write(opening);
            write();
        });
        socket.on("drain", write);
        if (readsAnswers) {
            socket.resume();
        }
    }
}
