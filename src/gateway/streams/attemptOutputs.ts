interface AttemptOutput {
    readonly version: string;
    readonly firstAtMs: number;
}

/** Output that the caller received from the attempts of one request. */
export class AttemptOutputs {
    private readonly byAttempt = new Map<number, AttemptOutput>();

    /** Versions of the targets that wrote output, in the order of the attempts. */
    public get versions(): readonly string[] {
        return [...this.byAttempt.values()].map(({ version }) => version);
    }

    /** Records output of an attempt. `version`: that of its target when the request was sent. */
    public record(attempt: number, version: string | undefined, nowMs: number): void {
        if (!this.byAttempt.has(attempt)) {
            this.byAttempt.set(attempt, { version: version ?? "", firstAtMs: nowMs });
        }
    }

    /** Time since the first output of an attempt; milliseconds, undefined without output. */
    public computeOutputMs(attempt: number, nowMs: number): number | undefined {
        const output = this.byAttempt.get(attempt);
        return output === undefined ? undefined : nowMs - output.firstAtMs;
    }
}
