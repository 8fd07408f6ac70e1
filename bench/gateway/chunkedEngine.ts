/**
 * A model engine that reads prompts in chunks between the tokens of running streams, on a fake clock.
 *
 * Each step generates a token for every running stream and reads at most one chunk of the prompts that wait, in order of
 * arrival (chunked prefill; Agrawal et al., Sarathi-Serve, 2024). A stream's event holds several tokens, so that an engine
 * that reads chunk after chunk lets all its streams stand still for that many long steps. Left out: the batch's and the
 * context's cost, memory, prompts' quadratic part.
 */
export interface ChunkedEngineOptions {
    readonly tokensPerMs: number;
    readonly chunkTokens: number;
    /** A step without reading; milliseconds. */
    readonly stepMs: number;
    readonly tokensPerEvent: number;
}

/** One request at the engine, and what its caller sees. */
export interface EngineStream {
    readonly account: string;
    readonly sentAtMs: number;
    promptLeft: number;
    tokensLeft: number;
    tokensInEvent: number;
    firstAtMs: number | undefined;
    lastEventAtMs: number;
    longestPauseMs: number;
}

/** Plays one engine. */
export class ChunkedEngine {
    private readonly reading: EngineStream[] = [];
    private running: EngineStream[] = [];
    private stepEndsAtMs = 0;
    public readonly ended: EngineStream[] = [];

    public constructor(private readonly options: ChunkedEngineOptions) {}

    /** Prompt tokens that wait to be read. */
    public get waitingTokens(): number {
        return this.reading.reduce((sum, stream) => sum + stream.promptLeft, 0);
    }

    /** Requests under way. */
    public get load(): number {
        return this.reading.length + this.running.length;
    }

    public submit(account: string, promptTokens: number, events: number, nowMs: number): void {
        this.stepEndsAtMs = this.load === 0 ? nowMs : this.stepEndsAtMs;
        this.reading.push({
            account,
            sentAtMs: nowMs,
            promptLeft: promptTokens,
            tokensLeft: events * this.options.tokensPerEvent,
            tokensInEvent: 0,
            firstAtMs: undefined,
            lastEventAtMs: 0,
            longestPauseMs: 0,
        });
    }

    /** Plays the steps that end up to the given time. */
    public advance(toMs: number): void {
        while (this.load > 0 && this.stepEndsAtMs <= toMs) {
            this.runStep();
        }
    }

    private runStep(): void {
        let chunk = this.options.chunkTokens;
        const begun: EngineStream[] = [];
        while (chunk > 0 && this.reading.length > 0) {
            const [first] = this.reading;
            const read = Math.min(chunk, first.promptLeft);
            first.promptLeft -= read;
            chunk -= read;
            if (first.promptLeft === 0) {
                begun.push(first);
                this.reading.shift();
            }
        }
        const { tokensPerMs, chunkTokens, stepMs } = this.options;
        this.stepEndsAtMs += stepMs + (chunkTokens - chunk) / tokensPerMs;
        this.running.forEach(stream => this.addToken(stream));
        this.ended.push(...this.running.filter(stream => stream.tokensLeft <= 0));
        this.running = [...this.running.filter(stream => stream.tokensLeft > 0), ...begun];
    }

    private addToken(stream: EngineStream): void {
        stream.tokensLeft -= 1;
        stream.tokensInEvent += 1;
        if (stream.tokensInEvent < this.options.tokensPerEvent) {
            return;
        }
        stream.tokensInEvent = 0;
        const pauseMs = stream.firstAtMs === undefined ? 0 : this.stepEndsAtMs - stream.lastEventAtMs;
        stream.firstAtMs ??= this.stepEndsAtMs;
        stream.lastEventAtMs = this.stepEndsAtMs;
        stream.longestPauseMs = Math.max(stream.longestPauseMs, pauseMs);
    }
}
