import type { Problem } from "./problem.js";

/** What a caller gets, written as it arrives. Promises settle when the caller's connection can bear more. */
export interface CallerAnswer {
    /** Whether something of the answer has reached the caller, so that it can no longer be replaced by another try's. */
    readonly hasBegun: boolean;
    writeHead(status: number, headers: Readonly<Record<string, string>>): Promise<void>;
    /** Models: one event's JSON text. Plain services: base64. */
    writeChunk(data: string): Promise<void>;
    /** The answer is whole. */
    end(): Promise<void>;
    /** No (whole) answer will come. Before the begin the caller gets the problem, after it a visible break. */
    fail(problem: Problem): void;
    /** Drops what a failed try has left, before the next one. */
    clear(): void;
}
