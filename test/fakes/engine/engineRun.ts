import { hashText } from "../../../src/base/hash.js";
import { Emitter } from "../../../src/base/event.js";

/** The part of a published chat-completion request that the stand-in looks at. */
export interface ChatRequest {
    readonly model: string;
    readonly messages: readonly { readonly role: string; readonly content: unknown }[];
    readonly max_tokens?: number | null;
    readonly max_completion_tokens?: number | null;
    readonly stream?: boolean;
    readonly stream_options?: { readonly include_usage?: boolean };
}

/** Where a run stands; `broken` means that the engine dropped it. */
export type RunState = "waiting" | "running" | "completed" | "cancelled" | "broken";

const defaultTokens = 12;
const charactersPerToken = 4;
const prefixCharacters = 2_048;
const prefixHashDigits = 16;

/** Text of all messages, in order. */
export function formatPrompt(request: ChatRequest): string {
    return request.messages
        .map(message => (typeof message.content === "string" ? message.content : JSON.stringify(message.content)))
        .join("\n");
}

/** The answer to a prompt: known beforehand to a test, and different for each prompt. */
export function buildAnswerTokens(prompt: string, maxTokens: number | undefined): readonly string[] {
    const wanted = /\[tokens:(\d+)\]/.exec(prompt)?.[1];
    const count = Math.min(wanted === undefined ? defaultTokens : Number(wanted), maxTokens ?? Infinity);
    const digest = hashText(prompt).slice(0, 8);
    return [...Array(count).keys()].map(index => `${digest}:${index} `);
}

/** One request at the engine: its answer as numbered chunks, kept so that a stream can be resumed. */
export class EngineRun {
    private readonly emitter = new Emitter<void>();
    private readonly answer: readonly string[];
    private generated = 0;
    public readonly chunks: string[] = [];
    public readonly onDidAdvance = this.emitter.onDidFire;
    public readonly promptTokens: number;
    public readonly prefixHash: string;
    public readonly promptDigest: string;
    public state: RunState = "waiting";
    public prefillTicks = 0;
    public readers = 0;
    /** Rises when the engine drops its connections; the run itself goes on. */
    public connectionEpoch = 0;
    public endedAtMs: number | undefined;

    public constructor(
        public readonly id: string,
        private readonly request: ChatRequest,
        public readonly arrivedAtMs: number,
        private readonly createdSeconds: number,
    ) {
        const prompt = formatPrompt(request);
        this.promptTokens = Math.ceil(prompt.length / charactersPerToken);
        this.promptDigest = hashText(prompt);
        const beginning = JSON.stringify(request.messages).slice(0, prefixCharacters);
        this.prefixHash = hashText(beginning).slice(0, prefixHashDigits);
        const limit = request.max_completion_tokens ?? request.max_tokens ?? undefined;
        this.answer = buildAnswerTokens(prompt, limit);
    }

    public get isOpen(): boolean {
        return this.state === "waiting" || this.state === "running";
    }

    public get generatedTokens(): number {
        return this.generated;
    }

    public get model(): string {
        return this.request.model;
    }

    /** One step of the batch: a tick of prefill, or one token. Returns whether the run is complete. */
    public advance(): boolean {
        if (this.prefillTicks > 0) {
            this.prefillTicks--;
            return false;
        }
        const token = this.answer[this.generated];
        if (token !== undefined) {
            this.generated++;
            this.addChunk({ role: "assistant", content: token }, undefined);
        }
        if (this.generated < this.answer.length) {
            return false;
        }
        this.addChunk({}, "stop");
        if (this.request.stream_options?.include_usage === true) {
            this.chunks.push(
                JSON.stringify({ ...this.buildHead("chat.completion.chunk"), choices: [], usage: this.buildUsage() }),
            );
        }
        this.chunks.push("[DONE]");
        return true;
    }

    /** Ends the run and wakes its readers. */
    public close(state: RunState, nowMs: number): void {
        this.state = state;
        this.endedAtMs = nowMs;
        this.emitter.fire();
    }

    /** Breaks the connections of all readers; the run goes on and can be resumed. */
    public closeConnections(): void {
        this.connectionEpoch++;
        this.emitter.fire();
    }

    /** Wakes the readers after a tick. */
    public fireAdvanced(): void {
        this.emitter.fire();
    }

    /** The answer as one JSON object, for callers that do not stream. */
    public buildWhole(): unknown {
        const message = { role: "assistant", content: this.answer.join("") };
        return {
            ...this.buildHead("chat.completion"),
            choices: [{ index: 0, message, finish_reason: "stop" }],
            usage: this.buildUsage(),
        };
    }

    /** SHA-256 of the text generated so far. */
    public get answerDigest(): string {
        return hashText(this.answer.slice(0, this.generated).join(""));
    }

    private addChunk(delta: unknown, finishReason: string | undefined): void {
        // The published format demands null here.
        // eslint-disable-next-line no-restricted-syntax
        const choice = { index: 0, delta, finish_reason: finishReason ?? null };
        this.chunks.push(JSON.stringify({ ...this.buildHead("chat.completion.chunk"), choices: [choice] }));
    }

    private buildHead(object: string): object {
        return { id: `chatcmpl-${this.id}`, object, created: this.createdSeconds, model: this.request.model };
    }

    private buildUsage(): object {
        return {
            prompt_tokens: this.promptTokens,
            completion_tokens: this.generated,
            total_tokens: this.promptTokens + this.generated,
        };
    }
}
