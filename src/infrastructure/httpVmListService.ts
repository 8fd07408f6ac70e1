import type { ResultAsync } from "neverthrow";
import { Agent } from "undici";
import { z } from "zod";
import type { CancellationToken } from "../base/cancellation.js";
import type { Disposable } from "../base/lifecycle.js";
import type { PlatformError } from "./errors.js";
import { sendJson } from "./httpJson.js";
import type { Vm, VmListService } from "./vmList.js";

const vmListSchema = z.object({
    vms: z
        .array(z.object({ id: z.string(), dataCentre: z.string(), state: z.enum(["live", "leaving"]) }).readonly())
        .readonly(),
});

/** Settings of {@link HttpVmListService}. */
export interface HttpVmListServiceOptions {
    /** Base URL of the platform. */
    readonly url: string;
    /** Longest wait for an answer; milliseconds. */
    readonly timeoutMs?: number;
}

const defaultTimeoutMs = 5_000;

/** The platform's VM list over HTTP. */
export class HttpVmListService implements VmListService, Disposable {
    private readonly dispatcher = new Agent({ headersTimeout: 0, bodyTimeout: 0 });

    public constructor(private readonly options: HttpVmListServiceOptions) {}

    public list(token: CancellationToken): ResultAsync<readonly Vm[], PlatformError> {
        return sendJson(
            {
                service: "vm-list",
                dispatcher: this.dispatcher,
                method: "GET",
                url: `${this.options.url.replace(/\/$/, "")}/vms`,
                timeoutMs: this.options.timeoutMs ?? defaultTimeoutMs,
                schema: vmListSchema,
            },
            token,
        ).map(answer => answer.vms);
    }

    public dispose(): void {
        void this.dispatcher.destroy();
    }
}
