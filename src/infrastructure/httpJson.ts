import { ResultAsync } from "neverthrow";
import { request, type Dispatcher } from "undici";
import type { z } from "zod";
import { AbortScope, type CancellationToken } from "../base/cancellation.js";
import { PlatformError } from "./errors.js";

/** One call to a platform service. */
export interface JsonCall<T> {
    readonly service: PlatformError["service"];
    readonly dispatcher: Dispatcher;
    readonly method: "GET" | "POST";
    readonly url: string;
    readonly body?: unknown;
    /** The whole call, from connecting to the last byte. */
    readonly timeoutMs: number;
    readonly schema: z.ZodType<T>;
}

/** Makes the call and checks the answer's form. Errors: unavailable (a write may have taken effect). */
export function sendJson<T>(call: JsonCall<T>, token: CancellationToken): ResultAsync<T, PlatformError> {
    return ResultAsync.fromPromise(sendCall(call, token), error =>
        error instanceof PlatformError ? error : new PlatformError(call.service, describeFailure(error), error),
    );
}

async function sendCall<T>(call: JsonCall<T>, token: CancellationToken): Promise<T> {
    const scope = new AbortScope(token, call.timeoutMs);
    try {
        if (token.isCancelled) {
            throw new PlatformError(call.service, "cancelled");
        }
        const response = await request(call.url, {
            dispatcher: call.dispatcher,
            method: call.method,
            signal: scope.signal,
            headers: call.body === undefined ? {} : { "content-type": "application/json" },
            body: call.body === undefined ? undefined : JSON.stringify(call.body),
        });
        const text = await response.body.text();
        if (response.statusCode < 200 || response.statusCode > 299) {
            throw new PlatformError(call.service, `status ${response.statusCode}`);
        }
        const parsed = call.schema.safeParse(JSON.parse(text));
        if (!parsed.success) {
            throw new PlatformError(call.service, "answer of an unknown form", parsed.error);
        }
        return parsed.data;
    } finally {
        scope.dispose();
    }
}

function describeFailure(error: unknown): string {
    return error instanceof Error ? error.message || error.name : String(error);
}
