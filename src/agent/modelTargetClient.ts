import { createParser } from "eventsource-parser";
import { ResultAsync } from "neverthrow";
import type { Dispatcher } from "undici";
import { CancellationTokenSource, type CancellationToken } from "../base/cancellation.js";
import type { Clock } from "../base/clock.js";
import { decodeRetryAfter } from "../base/retryAfter.js";
import { sleepOnTimer } from "../base/sleep.js";
import type { EngineOrder } from "../decisions/limits/orderPolicy.js";
import type { WorkEnvelope } from "../control/frames.js";
import {
    TargetError,
    type OrderTarget,
    type RunSink,
    type RunUsage,
    type TargetClient,
    type TargetLoad,
} from "./targetClient.js";
import { isRefusal, toTargetError, type TargetConnection } from "./targetConnection.js";

/** How often a stream that stopped short is resumed before the run counts as failed. */
const maxResumes = 3;
/** How long an engine that does not take the call to resume is asked again, and how often; milliseconds. */
const resumeRetryMs = 5_000;
const resumePauseMs = 200;
/** The engine has seen a larger fencing number. */
const staleStatus = 409;
const doneMarker = "[DONE]";

interface ChatChunk {
    readonly choices?: readonly { readonly delta?: { readonly content?: string; readonly tool_calls?: unknown } }[];
    readonly usage?: { readonly prompt_tokens?: number; readonly completion_tokens?: number };
}

/** Speaks to a model engine: the OpenAI-compatible chat API as streamed events, with the engine's resume and cancel. */
export class ModelTargetClient implements TargetClient, OrderTarget {
    public constructor(
        private readonly connection: TargetConnection,
        private readonly clock: Clock,
    ) {}

    public run(
        envelope: WorkEnvelope,
        body: Buffer,
        sink: RunSink,
        token: CancellationToken,
    ): ResultAsync<RunUsage, TargetError> {
        const stream = new ModelStream(this.connection, this.clock, envelope.requestId, sink, token);
        return ResultAsync.fromPromise(stream.run(body), cause => {
            this.cancelStream(envelope.requestId);
            return toTargetError(cause, stream.hasOutput);
        });
    }

    public sendOrder(order: EngineOrder, token: CancellationToken): ResultAsync<"done" | "stale", TargetError> {
        return ResultAsync.fromPromise(this.writeOrder(order, token), cause => toTargetError(cause, false));
    }

    private async writeOrder(order: EngineOrder, token: CancellationToken): Promise<"done" | "stale"> {
        const headers = { "content-type": "application/json" };
        const call = { method: "POST", headers, body: JSON.stringify(order) };
        const response = await this.connection.send("/orders", call, token);
        await response.body.dump();
        if (response.statusCode === staleStatus) {
            return "stale";
        }
        if (response.statusCode !== 200) {
            throw new TargetError(
                `the engine answered an order with ${response.statusCode}`,
                "unknown",
                "error-answer",
            );
        }
        return "done";
    }

    /**
     * Tells the engine that nobody wants the stream. An engine that can resume keeps a run whose connection is gone:
     * its slot would stay taken by an answer that has no reader.
     */
    private cancelStream(requestId: string): void {
        const token = new CancellationTokenSource().token;
        void this.connection
            .send(`/streams/${encodeURIComponent(requestId)}`, { method: "DELETE" }, token)
            .then(response => response.body.dump())
            .catch(() => undefined);
    }

    public fetchLoad(token: CancellationToken): ResultAsync<TargetLoad | undefined, TargetError> {
        return ResultAsync.fromPromise(this.connection.fetchLoad(token), cause => toTargetError(cause, false));
    }
}

/** One run's stream over its resumes. */
class ModelStream {
    private received = 0;
    private generated = 0;
    private usage: RunUsage | undefined;
    private done = false;

    public constructor(
        private readonly connection: TargetConnection,
        private readonly clock: Clock,
        private readonly requestId: string,
        private readonly sink: RunSink,
        private readonly token: CancellationToken,
    ) {}

    public get hasOutput(): boolean {
        return this.received > 0;
    }

    public async run(body: Buffer): Promise<RunUsage> {
        const response = await this.open(body);
        if (response !== undefined) {
            await this.read(response);
        }
        // An engine's connection may break in the middle of an answer. Without the count of chunks the caller would
        // take the part for the whole; with it the engine sends the rest, or the run ends in a failure it can see.
        for (let attempt = 0; attempt < maxResumes && !this.done && !this.token.isCancelled; attempt++) {
            await this.resume();
        }
        if (!this.done) {
            throw new TargetError(`the stream stopped short after ${this.received} chunks`, "unknown", "broken");
        }
        return this.usage ?? { promptTokens: 0, generatedTokens: this.generated };
    }

    private async open(body: Buffer): Promise<Dispatcher.ResponseData | undefined> {
        const response = await this.connection.send(
            "/v1/chat/completions",
            {
                method: "POST",
                headers: { "content-type": "application/json", "x-request-id": this.requestId },
                body: toStreamingBody(body),
            },
            this.token,
        );
        if (isCallerFault(response.statusCode)) {
            await this.sink.writeHead(response.statusCode, {});
            await this.sink.writeChunk(await response.body.text(), 0);
            this.done = true;
            return undefined;
        }
        if (response.statusCode !== 200) {
            const text = (await response.body.text()).slice(0, 500);
            const refused = isRefusal(response.statusCode);
            throw new TargetError(
                `the engine answered ${response.statusCode}: ${text}`,
                refused ? "not-run" : "unknown",
                refused ? "refused" : "error-answer",
                undefined,
                refused ? this.decodePause(response) : undefined,
            );
        }
        await this.sink.writeHead(200, {});
        return response;
    }

    private decodePause({ headers }: Dispatcher.ResponseData): number | undefined {
        const { date } = headers;
        const sentAt = Array.isArray(date) ? date[0] : date;
        const pause = decodeRetryAfter(headers["retry-after"], sentAt, this.clock.nowDate());
        return pause.kind === "wait" ? pause.ms : undefined;
    }

    private async resume(): Promise<void> {
        const response = await this.openRest();
        if (response.statusCode !== 200) {
            await response.body.dump();
            throw new TargetError(`the engine cannot resume: ${response.statusCode}`, "unknown", "broken");
        }
        await this.read(response);
    }

    /** Asks for the rest of the stream, and again while the engine is cut off or silent. */
    private async openRest(): Promise<Dispatcher.ResponseData> {
        const path = `/streams/${encodeURIComponent(this.requestId)}?from=${this.received}`;
        const untilMs = this.clock.nowMs() + resumeRetryMs;
        for (;;) {
            try {
                return await this.connection.send(path, { method: "GET" }, this.token);
            } catch (cause) {
                if (this.token.isCancelled || isProcessGone(cause) || this.clock.nowMs() >= untilMs) {
                    throw cause;
                }
            }
            await sleepOnTimer(resumePauseMs, this.token);
        }
    }

    private async read(response: Dispatcher.ResponseData): Promise<void> {
        const events: string[] = [];
        const parser = createParser({ onEvent: event => events.push(event.data) });
        const decoder = new TextDecoder();
        try {
            for await (const bytes of response.body) {
                parser.feed(decoder.decode(bytes as Buffer, { stream: true }));
                for (const data of events.splice(0)) {
                    await this.handleEvent(data);
                }
            }
        } catch (cause) {
            if (this.token.isCancelled || !this.hasOutput) {
                throw cause;
            }
            // The break itself is no failure yet: run() resumes.
        }
    }

    private async handleEvent(data: string): Promise<void> {
        if (data === doneMarker) {
            this.done = true;
            return;
        }
        this.received++;
        const chunk = JSON.parse(data) as ChatChunk;
        const tokens = (chunk.choices ?? []).filter(choice => hasOutput(choice.delta)).length;
        this.generated += tokens;
        if (chunk.usage?.completion_tokens !== undefined) {
            this.usage = {
                promptTokens: chunk.usage.prompt_tokens ?? 0,
                generatedTokens: chunk.usage.completion_tokens,
            };
        }
        await this.sink.writeChunk(data, tokens);
    }
}

/** A refused connection means that the engine's process has ended, and the stream with it. */
function isProcessGone(cause: unknown): boolean {
    return (cause as { readonly code?: string }).code === "ECONNREFUSED";
}

/** The engine found the request itself wrong; no other engine would take it, so the caller gets the engine's words. */
function isCallerFault(status: number): boolean {
    return status >= 400 && status < 500 && !isRefusal(status);
}

function hasOutput(delta: { readonly content?: string; readonly tool_calls?: unknown } | undefined): boolean {
    return (delta?.content ?? "") !== "" || delta?.tool_calls !== undefined;
}

/** The engine is always asked for a stream with usage: only so is cost charged while it arises. */
function toStreamingBody(body: Buffer): string {
    const parsed = JSON.parse(body.toString("utf8")) as Record<string, unknown>;
    return JSON.stringify({ ...parsed, stream: true, stream_options: { include_usage: true } });
}
