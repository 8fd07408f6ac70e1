import type { IncomingMessage, ServerResponse } from "node:http";
import { FairShedding } from "../../decisions/admission/fairShedding.js";
import { computeReturnDelayMs, RequestReturn } from "../../decisions/admission/requestReturn.js";
import { AccountCharge } from "../accountCharge.js";
import { computeShareUsage } from "../computeShareUsage.js";
import type { GatewayContext } from "../gatewayContext.js";
import { createRouterResponse, type RouterResponseReason } from "../routerResponse.js";
import type { RequestHead } from "../wire.js";
import { describeOwnLoad, type NeighbourLoads } from "./neighbourLoads.js";

/** Why a request is refused before its body is read, and when its caller should retry. */
export interface EarlyRefusalDecision {
    readonly reason: Extract<RouterResponseReason, "returned" | "busy">;
    /** Milliseconds. */
    readonly retryAfterMs: number;
}

/** Counts of refusals since the start of the process. */
export interface EarlyRefusalCounts {
    /** Requests that were returned to their callers for a retry at another router. */
    readonly returned: number;
    /** Requests that were shed although no other router has spare processor time. */
    readonly shed: number;
}

/** Retry delay while no other router of the data centre has spare processor time; milliseconds. */
const busyRetryMs = 500;
/** Time without a returned request after which returning counts as ended, for the log; milliseconds. */
const logPauseMs = 2_000;

/**
 * Refuses requests by their heads alone while this router is short of processor time: the body is read and dropped, and none of the state
 * that serving a request needs is built.
 */
export class EarlyRefusal {
    private readonly shedding = new FairShedding();
    private readonly returning = new RequestReturn();
    private readonly counts = { returned: 0, shed: 0 };
    private lastReturnAtMs = Number.NEGATIVE_INFINITY;

    public constructor(
        private readonly context: GatewayContext,
        private readonly neighbours: NeighbourLoads,
    ) {}

    /** Counts of refusals since the start of the process. */
    public get refused(): EarlyRefusalCounts {
        return this.counts;
    }

    /** Decides on a request whose head has arrived; undefined if it is to be served. */
    public check(host: string, path: string, head: RequestHead): EarlyRefusalDecision | undefined {
        const { context, returning } = this;
        const { settings, load, clock, random, configuration } = context;
        const neighbours = this.neighbours.listReady();
        const returnFraction = returning.computeFraction(describeOwnLoad(settings, load), neighbours);
        const fraction = Math.max(load.shedShare, returnFraction);
        // A request without an id or a route gets its usual answer, which costs no more.
        const route = fraction <= 0 ? undefined : configuration.current?.routes.find(host, path);
        if (route === undefined || head.requestId === undefined) {
            return undefined;
        }
        const account =
            head.apiKey === undefined ? undefined : configuration.current?.accountsByKey.get(head.apiKey)?.name;
        const surplus = route.hasPrompts ? computeShareUsage(context, account).surplus : 0;
        if (!this.shedding.check(fraction, surplus, random)) {
            return undefined;
        }
        const nowMs = clock.nowMs();
        const isReturned = returning.takeCapacity(neighbours, nowMs);
        if (!isReturned && !(load.shedShare > 0 && random.next() < load.shedShare / fraction)) {
            return undefined;
        }
        if (!isReturned) {
            // Without its shed requests in the totals, the account would appear to request little. A returned one is charged where it is
            // sent next.
            new AccountCharge(context, { head, route, account }).recordRequested();
            this.counts.shed += 1;
            return { reason: "busy", retryAfterMs: busyRetryMs };
        }
        this.counts.returned += 1;
        this.reportStart(nowMs);
        return { reason: "returned", retryAfterMs: computeReturnDelayMs(random) };
    }

    private reportStart(nowMs: number): void {
        if (nowMs - this.lastReturnAtMs > logPauseMs) {
            const { utilization } = describeOwnLoad(this.context.settings, this.context.load);
            const fields = { utilization: Number(utilization.toFixed(2)) };
            this.context.logger.write("info", "returning requests to other routers of the data centre", fields);
        }
        this.lastReturnAtMs = nowMs;
    }
}

/** Answers once the request has been received; its body is dropped. Closes the connection, so that the retry opens a new one. */
export function sendEarlyRefusal(
    request: IncomingMessage,
    response: ServerResponse,
    { reason, retryAfterMs }: EarlyRefusalDecision,
    ownHeaders: Readonly<Record<string, string>>,
): Promise<void> {
    const { status, headers, body } = createRouterResponse(reason, retryAfterMs);
    return new Promise(resolve => {
        response.once("close", resolve);
        response.on("error", () => undefined);
        request.on("error", () => undefined);
        request.once("end", () => {
            const length = String(Buffer.byteLength(body));
            response.writeHead(status, { ...headers, ...ownHeaders, "content-length": length, connection: "close" });
            response.end(body);
        });
        request.resume();
    });
}
