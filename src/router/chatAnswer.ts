import type { CallerAnswer } from "./callerAnswer.js";
import type { CallerConnection } from "./callerConnection.js";
import { ChatAssembler } from "./chatAssembler.js";
import { renderProblem, type Problem } from "./problem.js";

const eventStreamHeaders = { "content-type": "text/event-stream; charset=utf-8", "cache-control": "no-cache" };
const okStatus = 200;
const jsonHeaders = { "content-type": "application/json" };

/** An engine's own error answer, passed through unchanged. */
class ErrorAnswer {
    private status: number | undefined;

    public constructor(private readonly connection: CallerConnection) {}

    public get isError(): boolean {
        return this.status !== undefined;
    }

    public update(status: number): void {
        this.status = status === okStatus ? undefined : status;
    }

    public write(data: string): void {
        this.connection.writeHead(this.status ?? okStatus, jsonHeaders);
        this.connection.end(data);
    }
}

/** A model's answer as server-sent events that end in `[DONE]`. */
export class StreamedChatAnswer implements CallerAnswer {
    private readonly error: ErrorAnswer;

    /** `includeUsage`: whether the caller asked for the last event that carries the usage. */
    public constructor(
        private readonly connection: CallerConnection,
        private readonly includeUsage: boolean,
    ) {
        this.error = new ErrorAnswer(connection);
    }

    public get hasBegun(): boolean {
        return this.connection.hasBegun;
    }

    public async writeHead(status: number): Promise<void> {
        this.error.update(status);
        // The head goes out with the first event: until then another target can still take the request over.
    }

    public async writeChunk(data: string): Promise<void> {
        if (this.error.isError) {
            this.error.write(data);
            return;
        }
        if (!this.includeUsage && isUsageOnly(data)) {
            return;
        }
        this.connection.writeHead(200, eventStreamHeaders);
        await this.connection.write(`data: ${data}\n\n`);
    }

    public async end(): Promise<void> {
        this.connection.writeHead(200, eventStreamHeaders);
        this.connection.end("data: [DONE]\n\n");
    }

    public fail(problem: Problem): void {
        if (!this.hasBegun) {
            this.connection.writeProblem(problem);
            return;
        }
        // The error event tells clients that read it; the missing [DONE] and the broken connection tell all others.
        const event = renderProblem(problem, this.connection.requestId, true);
        void this.connection.write(`data: ${event}\n\n`).then(() => this.connection.close());
    }

    public clear(): void {
        // Nothing is kept back.
    }
}

/** A model's answer as one JSON object. Kept until it is whole, so that a broken try can be replaced by another. */
export class AssembledChatAnswer implements CallerAnswer {
    private assembler = new ChatAssembler();
    private readonly error: ErrorAnswer;

    public constructor(private readonly connection: CallerConnection) {
        this.error = new ErrorAnswer(connection);
    }

    public get hasBegun(): boolean {
        return this.connection.hasBegun;
    }

    public async writeHead(status: number): Promise<void> {
        this.error.update(status);
        // The head goes out with the whole answer.
    }

    public async writeChunk(data: string): Promise<void> {
        if (this.error.isError) {
            this.error.write(data);
            return;
        }
        this.assembler.add(data);
    }

    public async end(): Promise<void> {
        this.connection.writeHead(200, jsonHeaders);
        this.connection.end(JSON.stringify(this.assembler.build()));
    }

    public fail(problem: Problem): void {
        this.connection.writeProblem(problem);
    }

    public clear(): void {
        this.assembler = new ChatAssembler();
    }
}

function isUsageOnly(data: string): boolean {
    if (!data.includes('"usage"')) {
        return false;
    }
    const { choices } = JSON.parse(data) as { choices?: readonly unknown[] };
    return choices?.length === 0;
}
