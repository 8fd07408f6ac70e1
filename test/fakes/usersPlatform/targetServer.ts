import type { Socket } from "node:net";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";

/** What a target does with one request. */
export type TargetScript =
    | "serve"
    /** Breaks the connection behind the second event or half of the body. */
    | "break-off"
    /** Ends the connection in the middle of the third event. */
    | "tear-event"
    /** Answers without a length, and resets the connection before the end. */
    | "reset-unframed"
    /** The same, with the reset right behind the bytes. */
    | "reset-unframed-at-once"
    /** Answers without a length, ended by the connection's end. */
    | "unframed"
    /** Sends far more events than were asked for, in one piece. */
    | "burst"
    /** Says that it did not run the request. */
    | "shed"
    | "error"
    | "hang"
    /** Begins to answer, and goes on without end until the connection is closed. */
    | "endless"
    /** Answers, and sends a second answer to the same request on the connection once the next request is there. */
    | "late-extra";

/** A request as the target got it. */
export interface ReceivedRequest {
    readonly id: string | undefined;
    readonly method: string | undefined;
    readonly url: string | undefined;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
    /** Monotonic time at which it was whole. */
    readonly atMs: number;
    /** Whether the connection was closed before the answer's end. */
    isAborted: boolean;
    ran: boolean;
    /** Its answer says that the target is leaving. */
    saysLeaving: boolean;
    /** What its answer asks for: no requests for so long; milliseconds. */
    pauseMs: number | undefined;
}

const eventCount = 5;
const burstCount = 1_500;
/** Time from the start of an answer that ends the target to its end. */
const fatalDelayMs = 10;

/** Stand-in for the users' engines and plain services. */
export class TargetServer {
    private readonly server: Server = createServer((request, response) => {
        // The request's end may never come: its connection was reset in the middle of it.
        this.handle(request, response).catch(() => response.destroy());
    });
    private readonly sockets = new Set<Socket>();
    /** Stops that have begun and not ended. */
    private stopCount = 0;
    private resumed = Promise.resolve();
    private resume = (): void => undefined;
    public readonly received: ReceivedRequest[] = [];
    /** Scripts for the next requests, in order; then {@link usual}. */
    public readonly scripts: TargetScript[] = [];
    public usual: TargetScript = "serve";
    /** Chooses for requests beyond {@link scripts}, in place of {@link usual}. */
    public chooseScript: (() => TargetScript) | undefined;
    /** What it tells of the parts of prompts that it keeps. */
    public heldParts: readonly (readonly [id: string, tokens: number])[] = [];
    /** A second answer, which goes out when the next request is there on its connection. */
    private extra: { readonly socket: Socket; readonly whole: string } | undefined;
    /** Version that its events name; undefined: they name none. */
    public version: string | undefined;
    /** Pause before each event; milliseconds. */
    public eventPauseMs = 1;
    /** Time that a plain request takes; milliseconds. */
    public workMs = 0;
    /** Waits for {@link workMs}; a test with a fake clock replaces it. */
    public sleep = sleepFor;
    /** A request with this body ends the target as soon as it runs: all connections are reset, and new ones refused. */
    public fatalBody: string | undefined;
    /** Time from the receipt of that body to the end; milliseconds. */
    public fatalBodyDelayMs = 0;
    /** A request whose prompt has this part ends the target once it has written `fatalPartEvents` events of the answer. */
    public fatalPart: string | undefined;
    public fatalPartEvents = 0;
    public hasEnded = false;
    /** What ended it. */
    public endedBy: "body" | "part" | undefined;
    /** Called when a request has ended it. */
    public onDidEnd: (() => void) | undefined;
    /** All its answers say that it is leaving; it goes on serving. */
    public isLeaving = false;
    /** Its refusals don't name the request. */
    public omitsRefusalIds = false;
    /** `Retry-After` of refusals; undefined: none. */
    public retryAfter: string | undefined;
    public refusesLists = false;
    /** What its answers say of its load: running, waiting and slots, and a fourth figure on some services; undefined: nothing. */
    public load: string | undefined;
    /** How often it was asked what it keeps. */
    public listCalls = 0;

    public constructor(
        public instanceId: string,
        private readonly isModel: boolean,
    ) {}

    public get address(): string {
        const address = this.server.address();
        return typeof address === "object" && address ? `127.0.0.1:${address.port}` : "";
    }

    public get ran(): readonly ReceivedRequest[] {
        return this.received.filter(request => request.ran);
    }

    public start(port = 0): Promise<void> {
        this.server.keepAliveTimeout = 5_000;
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
            // The HTTP server reads on whenever a request's body is consumed.
            socket.on("resume", () => {
                if (this.isStopped) {
                    socket.pause();
                }
            });
            if (this.isStopped) {
                stopSocket(socket);
            }
        });
        // With this listener the server leaves idle connections open; one that idles through a stop may have an unread request.
        this.server.on("timeout", socket => {
            if (!this.isStopped) {
                socket.destroy();
            }
        });
        return new Promise(resolve => this.server.listen(port, "127.0.0.1", () => resolve()));
    }

    public get isStopped(): boolean {
        return this.stopCount > 0;
    }

    /**
     * Stands still for a time, in milliseconds, and goes on where it was: it neither reads nor writes, and resets nothing. New
     * connections are accepted, as the system does for a process that stands still, and read afterwards.
     */
    public async stopFor(ms: number): Promise<void> {
        this.stopCount += 1;
        if (this.stopCount === 1) {
            this.resumed = new Promise(resolve => (this.resume = resolve));
            this.sockets.forEach(socket => stopSocket(socket));
        }
        await sleepFor(ms);
        this.stopCount -= 1;
        if (!this.isStopped) {
            this.resume();
            this.sockets.forEach(socket => resumeSocket(socket));
        }
    }

    public dispose(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Timers that end while it stands still take effect afterwards. */
    private async waitFor(ms: number): Promise<void> {
        await sleepFor(ms);
        await this.waitForResumption();
    }

    private async waitForResumption(): Promise<void> {
        while (this.isStopped) {
            await this.resumed;
        }
    }

    private async endAfter(ms: number): Promise<void> {
        await this.waitFor(ms);
        this.end("part");
    }

    /** Ends as a process that crashes does. */
    private end(cause: "body" | "part"): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        this.endedBy = cause;
        this.server.close();
        this.sockets.forEach(socket => socket.resetAndDestroy());
        this.onDidEnd?.();
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        await this.waitForResumption();
        if (this.isLeaving) {
            response.setHeader("Server-Leaving", "1");
        }
        if (this.load !== undefined) {
            response.setHeader("X-Lynxarch-Engine-Load", this.load);
        }
        this.listCalls += request.url === "/api/kv-list" ? 1 : 0;
        if (request.url === "/api/kv-list" && this.refusesLists) {
            response.writeHead(503, this.retryAfter === undefined ? {} : { "Retry-After": this.retryAfter }).end();
            return;
        }
        if (request.url === "/api/kv-list") {
            const held = this.heldParts.map(([id, tokens]) => ["", id, tokens, "m"]);
            response.end(JSON.stringify({ epoch: 1, next: 0, held }));
            return;
        }
        const chunks: Buffer[] = [];
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
        await this.waitForResumption();
        const received: ReceivedRequest = {
            id: toText(request.headers["x-lynxarch-attempt-id"]),
            method: request.method,
            url: request.url,
            headers: request.headers,
            body: Buffer.concat(chunks).toString(),
            atMs: performance.now(),
            isAborted: false,
            ran: false,
            saysLeaving: this.isLeaving,
            pauseMs: undefined,
        };
        this.received.push(received);
        response.on("close", () => {
            received.isAborted = !response.writableFinished;
        });
        if (received.id !== undefined && !this.omitsRefusalIds) {
            response.setHeader("X-Lynxarch-Attempt-Id", received.id);
        }
        const expected = request.headers["x-lynxarch-expect-instance"];
        if (expected !== undefined && expected !== this.instanceId) {
            response.writeHead(421, { "X-Lynxarch-Instance-Id": this.instanceId }).end();
            return;
        }
        if (this.extra?.socket === request.socket) {
            request.socket.write(this.extra.whole);
            this.extra = undefined;
        }
        const script = this.scripts.shift() ?? this.chooseScript?.() ?? this.usual;
        if (script === "shed") {
            if (this.retryAfter !== undefined) {
                response.setHeader("Retry-After", this.retryAfter);
                received.pauseMs = Number(this.retryAfter) * 1_000;
            }
            response.writeHead(503, { "X-Lynxarch-Not-Executed": "1" }).end();
            return;
        }
        received.ran = true;
        if (this.fatalBody !== undefined && received.body === this.fatalBody) {
            if (this.fatalBodyDelayMs > 0) {
                await new Promise(resolve => setTimeout(resolve, this.fatalBodyDelayMs));
            }
            this.end("body");
            return;
        }
        const promptParts = toText(request.headers["x-lynxarch-prefix-hash"]) ?? "";
        const isFatal = this.fatalPart !== undefined && promptParts.includes(`${this.fatalPart}:`);
        if (isFatal && this.fatalPartEvents === 0) {
            void this.endAfter(fatalDelayMs);
            return;
        }
        if (script === "hang") {
            return;
        }
        if (script === "endless") {
            const { instanceId, isModel } = this;
            sendEndlessly(response.socket ?? request.socket, received.id ?? "", instanceId, isModel);
            return;
        }
        response.setHeader("X-Lynxarch-Attempt-Id", received.id ?? "");
        response.setHeader("X-Lynxarch-Engine-Stamp", `stamp.${this.instanceId}`);
        if (script === "error") {
            response.writeHead(500).end("engine error");
            return;
        }
        await (this.isModel
            ? this.answerStream(request, response, script, isFatal)
            : this.answerPlain(response, script, received));
    }

    private async answerStream(
        request: IncomingMessage,
        response: ServerResponse,
        script: TargetScript,
        isFatal: boolean,
    ): Promise<void> {
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        response.writeHead(200, { "Content-Type": "text/event-stream" });
        if (script === "burst") {
            response.end(Array.from({ length: burstCount }, (...[, index]) => `id: ${index + 1}\ndata:\n\n`).join(""));
            return;
        }
        for (let id = first; id <= eventCount; id++) {
            await this.waitFor(this.eventPauseMs);
            const writer = this.version === undefined ? "" : ` of ${this.version}`;
            const event = `id: ${id}\ndata: piece ${id}${writer}\n\n`;
            if (script === "tear-event" && id === first + 2) {
                response.write(event.slice(0, 9));
                await this.waitFor(5);
                request.socket.destroy();
                return;
            }
            response.write(event);
            if (isFatal && id === this.fatalPartEvents) {
                void this.endAfter(fatalDelayMs);
                return;
            }
            if (script === "break-off" && id === first + 1) {
                await this.waitFor(5);
                request.socket.resetAndDestroy();
                return;
            }
        }
        response.end();
    }

    private async answerPlain(
        response: ServerResponse,
        script: TargetScript,
        received: ReceivedRequest,
    ): Promise<void> {
        const body = `answer to ${received.id}`;
        if (this.workMs > 0) {
            await this.sleep(this.workMs);
            await this.waitForResumption();
        }
        const { socket } = response;
        if (script === "serve" || !socket) {
            response.writeHead(200, { "Content-Length": body.length }).end(body);
            return;
        }
        const head = `HTTP/1.1 200 OK\r\nX-Lynxarch-Attempt-Id: ${received.id}\r\nX-Lynxarch-Engine-Stamp: s\r\n`;
        if (script === "late-extra") {
            const whole = `${head}Content-Length: ${body.length}\r\nKeep-Alive: timeout=5\r\n\r\n${body}`;
            socket.write(whole);
            this.extra = { socket, whole };
            return;
        }
        if (script === "unframed" || script === "reset-unframed" || script === "reset-unframed-at-once") {
            socket.write(`${head}Connection: close\r\n\r\n${script === "unframed" ? body : body.slice(0, 6)}`);
            if (script !== "reset-unframed-at-once") {
                await this.waitFor(10);
            }
            if (script === "unframed") {
                socket.end();
            } else {
                socket.resetAndDestroy();
            }
            return;
        }
        socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body.slice(0, 6)}`);
        await this.waitFor(10);
        socket.destroy();
    }
}

/** Reads nothing more, and holds back what is written. */
function stopSocket(socket: Socket): void {
    socket.cork();
    socket.pause();
}

function resumeSocket(socket: Socket): void {
    socket.uncork();
    socket.resume();
}

function sleepFor(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** An event, or a body without a length, that has no end. */
function sendEndlessly(socket: Socket, id: string, instanceId: string, isModel: boolean): void {
    const type = isModel ? "text/event-stream" : "text/plain";
    socket.write(
        `HTTP/1.1 200 OK\r\nContent-Type: ${type}\r\nX-Lynxarch-Attempt-Id: ${id}\r\n` +
            `X-Lynxarch-Engine-Stamp: stamp.${instanceId}\r\nConnection: close\r\n\r\n`,
    );
    const filler = Buffer.alloc(16_384, "x");
    const writeOn = (): void => {
        if (!socket.destroyed && socket.write(filler)) {
            setImmediate(writeOn);
        }
    };
    socket.on("drain", writeOn);
    socket.on("error", () => undefined);
    writeOn();
}

function toText(value: string | string[] | undefined): string | undefined {
    return Array.isArray(value) ? value[0] : value;
}
