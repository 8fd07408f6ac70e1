import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { Transform, type TransformOptions } from "node:stream";

/**
 * `cut` breaks every connection and refuses new ones; `frozen` takes connections and bytes and passes nothing on;
 * `frozen-out` holds back only what goes to the far side, and `frozen-back` only what comes from there.
 */
export type RouteMode = "open" | "cut" | "frozen" | "frozen-out" | "frozen-back";

/** A text and its substitute of the same length, so that lengths told in the stream stay true. */
export type Replacement = readonly [from: string, to: string];

interface Connection {
    readonly near: Socket;
    readonly far: Socket;
    /** What passes from the far side to the near one goes through here. */
    readonly replacer: Transform;
    /** The same for the other way. */
    readonly delayer: Transform;
}

/** One way between two parties: a listening port whose connections go to one address. */
export class Route {
    private readonly connections = new Set<Connection>();
    private readonly server: Server;
    private mode: RouteMode = "open";
    private cutCount = 0;
    /** Added to each chunk's way; milliseconds. */
    public delayMs = 0;

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

    /** Resets all connections that are open now; new ones are taken. */
    public closeAllWithReset(): void {
        this.connections.forEach(connection => closeWithReset(connection));
    }

    /** Connections now, and how many a cut has broken. */
    public describe(): { readonly mode: RouteMode; readonly open: number; readonly cut: number } {
        return { mode: this.mode, open: this.connections.size, cut: this.cutCount };
    }

    /** Ends the route and its connections. */
    public dispose(): void {
        this.server.close();
        this.connections.forEach(connection => closeConnection(connection));
    }

    private handleConnection(near: Socket): void {
        if (this.mode === "cut") {
            near.destroy();
            return;
        }
        const far = connect(this.port, this.host);
        const connection = {
            near,
            far,
            replacer: createReplacer(this.replacements, () => this.delayMs),
            delayer: createReplacer([], () => this.delayMs),
        };
        connection.replacer.pipe(near);
        connection.delayer.pipe(far);
        this.connections.add(connection);
        for (const socket of [near, far]) {
            socket.setNoDelay(true);
            // A reset must arrive as one: told as a clean end, an answer without a length would pass for whole.
            socket.on("error", () => closeWithReset(connection));
            // Behind bytes that nobody read for a time, Node tells a reset as a clean end; the kernel knows no peer then.
            socket.on("end", () => {
                if (socket.remotePort === undefined) {
                    closeWithReset(connection);
                }
            });
            // A clean end goes through the pipes, behind the bytes before it.
            socket.on("close", () => {
                if (near.destroyed && far.destroyed) {
                    this.connections.delete(connection);
                }
            });
        }
        near.on("close", () => far.destroySoon());
        applyMode(connection, this.mode);
    }
}

function applyMode({ near, far, replacer, delayer }: Connection, mode: RouteMode): void {
    near.unpipe(delayer).pause();
    far.unpipe(replacer).pause();
    if (mode === "open" || mode === "frozen-back") {
        near.pipe(delayer);
    }
    if (mode === "open" || mode === "frozen-out") {
        far.pipe(replacer);
    }
}

function closeConnection({ near, far }: Connection): void {
    near.destroy();
    far.destroy();
}

function closeWithReset({ near, far }: Connection): void {
    near.resetAndDestroy();
    far.resetAndDestroy();
}

type ReplacerArguments = Parameters<NonNullable<TransformOptions["transform"]>>;

/** Substitutes texts in a stream, also where one lies across two chunks, and holds each chunk up for a time. */
function createReplacer(replacements: readonly Replacement[], getDelayMs: () => number): Transform {
    let held = "";
    let lastReleaseAtMs = 0;
    const waiting: (() => void)[] = [];
    const replaceAll = (text: string): string =>
        replacements.reduce((replaced, [from, to]) => replaced.replaceAll(from, to), text);
    /** Runs in order, also when the delay has become shorter meanwhile: each timer runs the oldest action. */
    const runLater = (action: () => void): void => {
        const nowMs = performance.now();
        lastReleaseAtMs = Math.max(lastReleaseAtMs, nowMs + getDelayMs());
        if (lastReleaseAtMs <= nowMs && waiting.length === 0) {
            action();
            return;
        }
        waiting.push(action);
        setTimeout(() => waiting.shift()?.(), lastReleaseAtMs - nowMs);
    };
    return new Transform({
        transform(...[chunk, , callback]: ReplacerArguments) {
            const text = held + (chunk as Buffer).toString("latin1");
            const keep = countHeld(text, replacements);
            held = text.slice(text.length - keep);
            const passed = Buffer.from(replaceAll(text.slice(0, text.length - keep)), "latin1");
            runLater(() => this.push(passed));
            callback();
        },
        flush(callback) {
            runLater(() => callback(undefined, Buffer.from(held, "latin1")));
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
