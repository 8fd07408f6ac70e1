import type { GatewayContext } from "./gatewayContext.js";

/** Decides which requests a router refuses unexamined while it is too slow for all of them. */
export class RequestShedder {
    public constructor(private readonly context: Pick<GatewayContext, "load" | "random">) {}

    /** Whether to refuse the request. */
    public check(): boolean {
        const { load, random } = this.context;
        return load.shedShare > 0 && random.next() < load.shedShare;
    }
}
