import type { CallerAnswer } from "./callerAnswer.js";
import type { CallerConnection } from "./callerConnection.js";
import { ChatAssembler } from "./chatAssembler.js";
import { renderProblem, type Problem } from "./problem.js";

const eventStreamHeaders = { "content-type": "text/event-stream; charset=utf-8", "cache-control": "no-cache" };
const okStatus = 200;
const jsonHeaders = { "content-type": "application/json" };

/** A model's answer. An engine's own error answer is passed through unchanged. */
abstract class ChatAnswer implements CallerAnswer {
    private status = okStatus;

    public constructor(protected readonly connection: CallerConnection) {}

    public get hasBegun(): boolean {
        return this.connection.hasBegun;
    }

    /** Only notes the status: the head goes out late, so that until then another target can take the request over. */
    public async writeHead(status: number): Promise<void> {
        this.status = status;
    }

    public async writeChunk(data: string): Promise<void> {
        if (this.status === okStatus) {
            await this.writeEvent(data);
            return;
        }
        this.connection.writeHead(this.status, jsonHeaders);
        this.connection.end(data);
    }

    public abstract end(): Promise<void>;
    public abstract fail(problem: Problem): void;
    public abstract clear(): void;
    protected abstract writeEvent(data: string): Promise<void>;
}

/** A model's answer as server-sent events that end in `[DONE]`. */
export class StreamedChatAnswer extends ChatAnswer {
    /** `includeUsage`: whether the caller asked for the last event that carries the usage. */
    public constructor(
        connection: CallerConnection,
        private readonly includeUsage: boolean,
    ) {
        super(connection);
    }

    public async end(): Promise<void> {
        this.connection.writeHead(okStatus, eventStreamHeaders);
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

    protected async writeEvent(data: string): Promise<void> {
        if (!this.includeUsage && isUsageOnly(data)) {
            return;
        }
        this.connection.writeHead(okStatus, eventStreamHeaders);
        await this.connection.write(`data: ${data}\n\n`);
    }
}

/** A model's answer as one JSON object. Kept until it is whole, so that a broken try can be replaced by another. */
export class AssembledChatAnswer extends ChatAnswer {
    private assembler = new ChatAssembler();

    public async end(): Promise<void> {
        this.connection.writeHead(okStatus, jsonHeaders);
        this.connection.end(JSON.stringify(this.assembler.build()));
    }

    public fail(problem: Problem): void {
        this.connection.writeProblem(problem);
    }

    public clear(): void {
        this.assembler = new ChatAssembler();
    }

    protected async writeEvent(data: string): Promise<void> {
        this.assembler.add(data);
    }
}

function isUsageOnly(data: string): boolean {
    if (!data.includes('"usage"')) {
        return false;
    }
    const { choices } = JSON.parse(data) as { choices?: readonly unknown[] };
    return choices?.length === 0;
}
