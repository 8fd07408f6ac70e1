import type { Execution, Refusal, RefusalReason } from "../fleet/entities.js";

/** A problem document (RFC 9457) with the project's extension members. */
export interface Problem {
    readonly status: number;
    /** Stable, machine-readable name; the last part of the `type` URI. */
    readonly code: string;
    readonly title: string;
    readonly detail: string;
    readonly execution: Execution;
    /** When to come back; milliseconds. */
    readonly retryAfterMs?: number | undefined;
}

const msPerSecond = 1_000;
const typePrefix = "https://lynxarch.example/problems/";

/** Answers that always say when to come back; a client that is not told comes back at once, with all the others. */
const comeBackStatuses: ReadonlySet<number> = new Set([429, 503]);
const usualRetryAfterMs = 2_000;

const refusalStatuses: Readonly<Record<RefusalReason, readonly [number, string]>> = {
    "queue-full": [503, "Too many requests wait"],
    "account-queue-full": [429, "Too many requests of this account wait"],
    deadline: [503, "The request cannot be served in time"],
    "no-target": [503, "No target serves this now"],
    draining: [503, "The target is being taken out"],
    duplicate: [409, "The idempotency key was used with another request"],
    "key-unknown": [409, "Whether a request with this key ran is not known"],
    "key-required": [400, "An Idempotency-Key is required"],
    "retry-budget": [503, "Too many requests are being retried"],
    "target-failed": [502, "The target failed"],
    stopping: [503, "This router is stopping"],
};

/** Makes the problem that tells a caller of a refusal. */
export function toProblem(refusal: Refusal): Problem {
    const [status, title] = findStatus(refusal);
    return {
        status,
        code: refusal.reason,
        title,
        detail: refusal.detail,
        execution: refusal.execution,
        retryAfterMs: refusal.retryAfterMs ?? (comeBackStatuses.has(status) ? usualRetryAfterMs : undefined),
    };
}

function findStatus(refusal: Refusal): readonly [number, string] {
    // The home has only just joined or cannot confirm itself: nothing is wrong with the key, and clients that retry on 503
    // get through a moment later.
    const isEarly = refusal.reason === "key-unknown" && refusal.execution === "not-run";
    return isEarly ? [503, "The key's home is not ready"] : refusalStatuses[refusal.reason];
}

/** Headers of a problem's answer. `Retry-After` is in whole seconds (RFC 9110, section 10.2.3), so it is rounded up. */
export function createProblemHeaders(problem: Problem, requestId: string): Record<string, string> {
    const headers: Record<string, string> = {
        "content-type": "application/problem+json",
        "x-request-id": requestId,
    };
    if (problem.retryAfterMs !== undefined) {
        headers["retry-after"] = String(Math.max(1, Math.ceil(problem.retryAfterMs / msPerSecond)));
    }
    return headers;
}

/** Body of a problem's answer. On /v1 it holds the `error` object of OpenAI-compatible servers besides. */
export function renderProblem(problem: Problem, requestId: string, openAiShape: boolean): string {
    const body = {
        type: `${typePrefix}${problem.code}`,
        title: problem.title,
        status: problem.status,
        detail: problem.detail,
        execution: problem.execution,
        requestId,
        retryAfterMs: problem.retryAfterMs === undefined ? undefined : Math.ceil(problem.retryAfterMs),
    };
    if (!openAiShape) {
        return JSON.stringify(body);
    }
    const error = {
        message: `${problem.title}: ${problem.detail}`,
        type: toOpenAiType(problem.status),
        code: problem.code,
    };
    return JSON.stringify({ ...body, error });
}

function toOpenAiType(status: number): string {
    if (status === 401) {
        return "authentication_error";
    }
    if (status === 429) {
        return "rate_limit_error";
    }
    return status < 500 ? "invalid_request_error" : "server_error";
}
