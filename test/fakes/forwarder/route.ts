import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { Transform, type TransformOptions } from "node:stream";

/** `cut` breaks every connection and refuses new ones; `frozen` takes connections and bytes and passes nothing on. */
export type RouteMode = "open" | "cut" | "frozen";

/** A text and its substitute of the same length, so that lengths told in the stream stay true. */
export type Replacement = readonly [from: string, to: string];

interface Connection {
    readonly near: Socket;
    readonly far: Socket;
    /** What passes from the far side to the near one goes through here. */
    readonly replacer: Transform;
}

/** One way between two parties: a listening port whose connections go to one address. */
export class Route {
    private readonly connections = new Set<Connection>();
    private readonly server: Server;
    private mode: RouteMode = "open";
    private cutCount = 0;

    public constructor(
        private readonly host: string,
        private readonly port: number,
        private readonly replacements: readonly Replacement[],
    ) {
        this.server = createServer(near => this.handleConnection(near));
    }

    /** Starts to listen on a loopback port; 0 picks a free one. */
    public listen(port: number): Promise<number> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, "127.0.0.1", () => resolve((this.server.address() as AddressInfo).port));
        });
    }

    public setMode(mode: RouteMode): void {
        if (mode === this.mode) {
            return;
        }
        this.mode = mode;
        if (mode === "cut") {
            this.cutCount += this.connections.size;
            this.connections.forEach(connection => closeConnection(connection));
            return;
        }
        this.connections.forEach(connection => applyMode(connection, mode));
    }

    /** Connections now, and how many a cut has broken. */
    public describe(): { readonly mode: RouteMode; readonly open: number; readonly cut: number } {
        return { mode: this.mode, open: this.connections.size, cut: this.cutCount };
    }

    private handleConnection(near: Socket): void {
        if (this.mode === "cut") {
            near.destroy();
            return;
        }
        const far = connect(this.port, this.host);
        const connection = { near, far, replacer: createReplacer(this.replacements) };
        connection.replacer.pipe(near);
        this.connections.add(connection);
        const close = (): void => {
            this.connections.delete(connection);
            closeConnection(connection);
        };
        for (const socket of [near, far]) {
            socket.setNoDelay(true);
            socket.on("error", close);
            socket.on("close", close);
        }
        applyMode(connection, this.mode);
    }
}

function applyMode({ near, far, replacer }: Connection, mode: RouteMode): void {
    if (mode === "frozen") {
        near.unpipe(far).pause();
        far.unpipe(replacer).pause();
    } else {
        near.pipe(far);
        far.pipe(replacer);
    }
}

function closeConnection({ near, far }: Connection): void {
    near.destroy();
    far.destroy();
}

type ReplacerArguments = Parameters<NonNullable<TransformOptions["transform"]>>;

/** Substitutes texts in a stream, also where one lies across two chunks. */
function createReplacer(replacements: readonly Replacement[]): Transform {
    let held = "";
    const replaceAll = (text: string): string =>
        replacements.reduce((replaced, [from, to]) => replaced.replaceAll(from, to), text);
    return new Transform({
        transform: (...[chunk, , callback]: ReplacerArguments) => {
            const text = held + (chunk as Buffer).toString("latin1");
            const keep = countHeld(text, replacements);
            held = text.slice(text.length - keep);
            callback(undefined, Buffer.from(replaceAll(text.slice(0, text.length - keep)), "latin1"));
        },
        flush: callback => {
            callback(undefined, Buffer.from(held, "latin1"));
        },
    });
}

/** Length of the longest end of the text that may be the beginning of a text to replace. */
function countHeld(text: string, replacements: readonly Replacement[]): number {
    return replacements.reduce((longest, [from]) => {
        for (let length = Math.min(from.length - 1, text.length); length > longest; length--) {
            if (text.endsWith(from.slice(0, length))) {
                return length;
            }
        }
        return longest;
    }, 0);
}
