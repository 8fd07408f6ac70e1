import type { ResultAsync } from "neverthrow";
import { Agent } from "undici";
import { z } from "zod";
import type { CancellationToken } from "../base/cancellation.js";
import type { Disposable } from "../base/lifecycle.js";
import type { PlatformError } from "./errors.js";
import { sendJson } from "./httpJson.js";
import type { LogPage, LogService } from "./logService.js";

const appendedSchema = z.object({ offset: z.number().int().nonnegative(), appendedAtMs: z.number() });
const pageSchema = z.object({
    records: z
        .array(z.object({ offset: z.number().int().nonnegative(), appendedAtMs: z.number(), value: z.unknown() }))
        .readonly(),
    firstOffset: z.number().int().nonnegative(),
    endOffset: z.number().int().nonnegative(),
});

/** Settings of {@link HttpLogService}. */
export interface HttpLogServiceOptions {
    /** Base URL of the platform. */
    readonly url: string;
    /** Longest wait for an answer, on top of a long poll's own wait; milliseconds. */
    readonly timeoutMs?: number;
    /** Most records of one page. */
    readonly pageLimit?: number;
}

const defaultTimeoutMs = 5_000;
const defaultPageLimit = 500;

/** The platform's log over HTTP. */
export class HttpLogService implements LogService, Disposable {
    private readonly dispatcher = new Agent({ headersTimeout: 0, bodyTimeout: 0 });
    private readonly timeoutMs: number;
    private readonly pageLimit: number;

    public constructor(private readonly options: HttpLogServiceOptions) {
        this.timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
        this.pageLimit = options.pageLimit ?? defaultPageLimit;
    }

    public append(stream: string, value: unknown, token: CancellationToken): ResultAsync<number, PlatformError> {
        return sendJson(
            {
                service: "log",
                dispatcher: this.dispatcher,
                method: "POST",
                url: this.formatUrl(stream),
                body: value,
                timeoutMs: this.timeoutMs,
                schema: appendedSchema,
            },
            token,
        ).map(answer => answer.offset);
    }

    public read(
        stream: string,
        fromOffset: number,
        waitMs: number,
        token: CancellationToken,
    ): ResultAsync<LogPage, PlatformError> {
        const query = new URLSearchParams({
            from: String(fromOffset),
            waitMs: String(Math.round(waitMs)),
            limit: String(this.pageLimit),
        });
        return sendJson(
            {
                service: "log",
                dispatcher: this.dispatcher,
                method: "GET",
                url: `${this.formatUrl(stream)}?${query.toString()}`,
                timeoutMs: this.timeoutMs + waitMs,
                schema: pageSchema,
            },
            token,
        );
    }

    public dispose(): void {
        void this.dispatcher.destroy();
    }

    private formatUrl(stream: string): string {
        return `${this.options.url.replace(/\/$/, "")}/streams/${encodeURIComponent(stream)}/records`;
    }
}
