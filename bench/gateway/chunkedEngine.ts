/**
 * A model engine that reads prompts in chunks between the tokens of running streams, on a fake clock.
 *
 * Each step generates a token for every running stream and reads at most one chunk of the prompts that wait, in order of
 * arrival (chunked prefill; Agrawal et al., Sarathi-Serve, 2024). A stream's event holds several tokens, so that an engine
 * that reads chunk after chunk lets all its streams stand still for that many long steps. Parts of prompts are kept, and the
 * least recently used yield (prefix caching; Kwon et al., vLLM, 2023). Left out: the batch's and the context's cost, memory
 * of running requests, prompts' quadratic part, the time of copies between engines.
 */
import { LRUCache } from "lru-cache";
import type { PromptPart } from "../../src/gateway/wire.js";

/** Figures of an engine. */
export interface ChunkedEngineOptions {
    readonly tokensPerMs: number;
    readonly chunkTokens: number;
    /** A step without reading; milliseconds. */
    readonly stepMs: number;
    readonly tokensPerEvent: number;
    /** Tokens of prompts' parts that it keeps; none when left out. */
    readonly cacheTokens?: number;
}

/** A request as it is sent to an engine. */
export interface EngineRequest {
    readonly account: string;
    /** When its caller asked first. */
    readonly askedAtMs: number;
    /** In the prompt's order; the last one is its own. */
    readonly parts: readonly PromptPart[];
    /** Tokens that are copied from another engine and not read. */
    readonly copiedTokens: number;
    readonly events: number;
    readonly handleFirstOutput: () => void;
    readonly handleEnd: (stream: EngineStream) => void;
}

/** One request at the engine, and what its caller sees. */
export interface EngineStream {
    readonly account: string;
    /** Of the whole prompt. */
    readonly promptTokens: number;
    readonly askedAtMs: number;
    promptLeft: number;
    tokensLeft: number;
    tokensInEvent: number;
    firstAtMs: number | undefined;
    lastEventAtMs: number;
    longestPauseMs: number;
}

interface Run {
    readonly request: EngineRequest;
    readonly stream: EngineStream;
}

/** Plays one engine. */
export class ChunkedEngine {
    private readonly reading: Run[] = [];
    private running: Run[] = [];
    private stepEndsAtMs = 0;
    private readonly cache: LRUCache<string, number> | undefined;
    /** Tokens of prompts that it read. */
    public readTokens = 0;
    /** Of these, tokens of shared parts that it had read before. */
    public rereadTokens = 0;
    /** Tokens of shared parts that it read, without copied ones. */
    public sharedReadTokens = 0;
    private readonly known = new Set<string>();
    /** Tokens that requests under way hold: prompts, with each shared part once, and whole outputs. */
    private heldTokens = 0;
    private peakHeldTokens = 0;
    private readonly heldParts = new Map<string, number>();

    public constructor(private readonly options: ChunkedEngineOptions) {
        const { cacheTokens } = options;
        this.cache =
            cacheTokens === undefined
                ? undefined
                : new LRUCache({ maxSize: cacheTokens, sizeCalculation: tokens => Math.max(1, tokens) });
    }

    /** Prompt tokens that wait to be read. */
    public get waitingTokens(): number {
        return this.reading.reduce((sum, { stream }) => sum + stream.promptLeft, 0);
    }

    /** Requests under way. */
    public get load(): number {
        return this.reading.length + this.running.length;
    }

    public submit(request: EngineRequest, nowMs: number): void {
        this.stepEndsAtMs = this.load === 0 ? nowMs : this.stepEndsAtMs;
        const promptLeft = Math.max(1, this.takeMissing(request) - request.copiedTokens);
        this.readTokens += promptLeft;
        const { account, askedAtMs, events } = request;
        const stream = {
            account,
            promptTokens: request.parts.reduce((sum, part) => sum + part.tokens, 0),
            askedAtMs,
            promptLeft,
            tokensLeft: events * this.options.tokensPerEvent,
            tokensInEvent: 0,
            firstAtMs: undefined,
            lastEventAtMs: 0,
            longestPauseMs: 0,
        };
        this.reading.push({ request, stream });
        this.addHeld(request, 1);
        this.peakHeldTokens = Math.max(this.peakHeldTokens, this.heldTokens);
    }

    /** Most tokens that requests under way held at a time since the last call. */
    public takePeakHeldTokens(): number {
        const peak = this.peakHeldTokens;
        this.peakHeldTokens = this.heldTokens;
        return peak;
    }

    /** Drops a request that has no output yet; false: it has output, or is not here. */
    public cancel(request: EngineRequest): boolean {
        const isCancelled = (run: Run): boolean => run.request === request && run.stream.firstAtMs === undefined;
        const kept = this.running.filter(run => !isCancelled(run));
        const readingIndex = this.reading.findIndex(isCancelled);
        if (readingIndex >= 0) {
            this.reading.splice(readingIndex, 1);
        }
        const wasHere = readingIndex >= 0 || kept.length < this.running.length;
        this.running = kept;
        if (wasHere) {
            this.addHeld(request, -1);
        }
        return wasHere;
    }

    /** Plays the steps that end up to the given time. */
    public advance(toMs: number): void {
        while (this.load > 0 && this.stepEndsAtMs <= toMs) {
            this.runStep();
        }
    }

    /** Tokens of the prompt that it lacks; it keeps all parts from now on. */
    private takeMissing({ parts, copiedTokens }: EngineRequest): number {
        let missing = 0;
        let missingShared = 0;
        for (const [index, part] of parts.entries()) {
            const isShared = index < parts.length - 1;
            if (missing > 0 || this.cache?.get(part.id) === undefined) {
                missing += part.tokens;
                missingShared += isShared ? part.tokens : 0;
                this.rereadTokens += isShared && this.known.has(part.id) ? part.tokens : 0;
            }
            this.cache?.set(part.id, part.tokens);
            if (isShared) {
                this.known.add(part.id);
            }
        }
        this.sharedReadTokens += Math.max(0, missingShared - copiedTokens);
        return missing;
    }

    /** Counts a request that comes (1) or goes (-1). */
    private addHeld({ parts, events }: EngineRequest, change: 1 | -1): void {
        this.heldTokens += change * events * this.options.tokensPerEvent;
        for (const { id, tokens } of parts) {
            const before = this.heldParts.get(id) ?? 0;
            const after = before + change;
            this.heldParts.set(id, after);
            if (before === 0 || after === 0) {
                this.heldTokens += change * tokens;
            }
            if (after === 0) {
                this.heldParts.delete(id);
            }
        }
    }

    private runStep(): void {
        let chunk = this.options.chunkTokens;
        const begun: Run[] = [];
        while (chunk > 0 && this.reading.length > 0) {
            const [first] = this.reading;
            const read = Math.min(chunk, first.stream.promptLeft);
            first.stream.promptLeft -= read;
            chunk -= read;
            if (first.stream.promptLeft === 0) {
                begun.push(first);
                this.reading.shift();
            }
        }
        const { tokensPerMs, chunkTokens, stepMs } = this.options;
        this.stepEndsAtMs += stepMs + (chunkTokens - chunk) / tokensPerMs;
        this.running.forEach(run => this.addToken(run));
        for (const { request, stream } of this.running.filter(run => run.stream.tokensLeft <= 0)) {
            this.addHeld(request, -1);
            request.handleEnd(stream);
        }
        this.running = [...this.running.filter(({ stream }) => stream.tokensLeft > 0), ...begun];
    }

    private addToken({ request, stream }: Run): void {
        stream.tokensLeft -= 1;
        stream.tokensInEvent += 1;
        if (stream.tokensInEvent < this.options.tokensPerEvent) {
            return;
        }
        stream.tokensInEvent = 0;
        const pauseMs = stream.firstAtMs === undefined ? 0 : this.stepEndsAtMs - stream.lastEventAtMs;
        if (stream.firstAtMs === undefined) {
            stream.firstAtMs = this.stepEndsAtMs;
            request.handleFirstOutput();
        }
        stream.lastEventAtMs = this.stepEndsAtMs;
        stream.longestPauseMs = Math.max(stream.longestPauseMs, pauseMs);
    }
}
