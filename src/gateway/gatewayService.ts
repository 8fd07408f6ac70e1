import type { IncomingMessage, ServerResponse } from "node:http";
import type { Disposable } from "../base/lifecycle.js";
import { Emitter } from "../base/event.js";
import { computeChargedTokens } from "./accountCharge.js";
import { AccountStatistics } from "./accountStatistics.js";
import { CallerExchange } from "./callerExchange.js";
import type { FlowOutcome } from "./flowOutcomes.js";
import type { GatewayContext } from "./gatewayContext.js";
import { createRouterResponse, type RouterResponseReason } from "./routerResponse.js";
import { RequestIdentity } from "./quarantine/requestIdentity.js";
import { RequestGuard } from "./quarantine/requestGuard.js";
import { RequestFlow } from "./requestFlow.js";
import { RequestShedder } from "./requestShedder.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { RequestHead } from "./wire.js";

/** A request that ended, with what is logged of it. */
export interface EndedRequest {
    readonly requestId: string | undefined;
    readonly route: string | undefined;
    readonly account: string | undefined;
    readonly configurationVersion: number | undefined;
    /** The router that the caller reached and that handed its connection over. */
    readonly handedOverBy?: string | undefined;
    readonly tookMs: number;
    readonly end: Pick<FlowOutcome, "outcome" | "reason" | "status"> & Partial<FlowOutcome>;
}

/** A request with its route and account, or why it has none, by the configuration in force. */
type RouteOutcome = {
    readonly version: number | undefined;
    readonly arrivedAtMs: number;
    readonly handedOverBy: string | undefined;
} & ({ readonly request: RoutedRequest } | { readonly request: undefined; readonly problem: RouterResponseReason });

/** A configuration is read within seconds of a start; callers come back then. */
const noConfigurationRetryMs = 500;
const stoppingRetryMs = 100;
const busyRetryMs = 500;
/** A run of usual length is over by then, and its caller can still be answered in time. */
const suspectRetryMs = 500;
const suspectRetryShare = 0.5;
/** Memory that open requests' bodies may take, as a share of the process's; the rest is the runtime's and the answers'. */
const bodyMemoryShare = 0.25;
const bytesPerMb = 1_048_576;

/** Takes callers' requests: finds route and account, and hands them on to be served. */
export class GatewayService implements Disposable {
    /** What became of requests, by account. */
    public readonly accounts = new AccountStatistics();

    private readonly endEmitter = new Emitter<EndedRequest>();
    private open = 0;
    private heldBytes = 0;
    private refusesNew = false;
    private readonly shedder: RequestShedder;

    public readonly onDidEnd = this.endEmitter.onDidFire;

    public constructor(private readonly context: GatewayContext) {
        this.shedder = new RequestShedder(context);
    }

    /** Requests that have no final answer yet. */
    public get openRequests(): number {
        return this.open;
    }

    /** From here on new requests are refused. */
    public refuseNewRequests(): void {
        this.refusesNew = true;
    }

    /** `handedOverBy`: the router that the caller reached; undefined: this one. */
    public async handle(incoming: IncomingMessage, response: ServerResponse, handedOverBy?: string): Promise<void> {
        const caller = new CallerExchange(incoming, response, handedOverBy);
        const arrivedAtMs = this.context.clock.nowMs();
        this.open += 1;
        try {
            await this.handleRead(caller, arrivedAtMs);
        } finally {
            this.open -= 1;
            caller.dispose();
        }
    }

    public dispose(): void {
        this.endEmitter.dispose();
    }

    private async handleRead(caller: CallerExchange, arrivedAtMs: number): Promise<void> {
        const head = this.context.codec.decodeRequest(caller.request.rawHeaders);
        const maxBytes = this.context.configuration.current?.limits.maxBodyBytes ?? bytesPerMb;
        const budget = this.context.settings.limits.memoryMb * bytesPerMb * bodyMemoryShare;
        let held = 0;
        // Counted as it comes and not as announced: a body that is sent in chunks announces nothing.
        const hasRoom = (bytes: number): boolean => {
            held += bytes;
            this.heldBytes += bytes;
            return this.heldBytes <= budget;
        };
        try {
            const body = await caller.readBody({ maxBytes, hasCapacity: hasRoom });
            await caller.waitForPendingClose();
            if (caller.isDisconnected) {
                const end = { outcome: "left" as const, reason: "the caller left unread", status: undefined };
                this.fireEnd(head, arrivedAtMs, end, this.findRoute(caller, head, undefined, arrivedAtMs));
            } else if (body.isOk()) {
                await this.handleWhole(caller, head, body.value, arrivedAtMs);
            } else if (body.error !== "left") {
                const isTooLarge = body.error === "too-large";
                const retryAfterMs = isTooLarge ? undefined : busyRetryMs;
                const routed = this.findRoute(caller, head, undefined, arrivedAtMs);
                routed.request?.figures.record("read");
                this.answerOwn(caller, head, routed, isTooLarge ? "body-too-large" : "busy", retryAfterMs);
            } else {
                this.findRoute(caller, head, undefined, arrivedAtMs).request?.figures.record("left-unread");
            }
        } finally {
            this.heldBytes -= held;
        }
    }

    private async handleWhole(
        caller: CallerExchange,
        head: RequestHead,
        body: Buffer | undefined,
        arrivedAtMs: number,
    ): Promise<void> {
        const routed = this.findRoute(caller, head, body, arrivedAtMs);
        routed.request?.figures.record("read");
        if (this.shedder.check(routed.request)) {
            this.answerOwn(caller, head, routed, "busy", busyRetryMs);
        } else if (this.refusesNew) {
            this.answerOwn(caller, head, routed, "stopping", stoppingRetryMs);
        } else if (routed.request === undefined) {
            const retryAfterMs = routed.problem === "no-configuration" ? noConfigurationRetryMs : undefined;
            this.answerOwn(caller, head, routed, routed.problem, retryAfterMs);
        } else {
            await this.handleRouted(caller, routed, routed.request);
        }
    }

    private async handleRouted(caller: CallerExchange, routed: RouteOutcome, request: RoutedRequest): Promise<void> {
        const { head, arrivedAtMs, identity } = request;
        const watch = new RequestGuard(this.context.quarantine, identity);
        const start = watch.start();
        if (start === "held") {
            this.answerOwn(caller, head, routed, "crashes-targets", undefined);
        } else if (start === "busy") {
            const retryAfterMs = Math.min(suspectRetryMs, request.route.objectiveMs * suspectRetryShare);
            this.answerOwn(caller, head, routed, "suspect-runs", retryAfterMs);
        } else {
            const end = await new RequestFlow(this.context, caller, request, watch).run();
            this.fireEnd(head, arrivedAtMs, end, routed);
        }
    }

    private findRoute(
        caller: CallerExchange,
        head: RequestHead,
        body: Buffer | undefined,
        arrivedAtMs: number,
    ): RouteOutcome {
        const { request } = caller;
        const configuration = this.context.configuration.current;
        const version = configuration?.version;
        const createProblem = (problem: RouterResponseReason): RouteOutcome => ({
            request: undefined,
            problem,
            version,
            arrivedAtMs,
            handedOverBy: caller.handedOverBy,
        });
        if (configuration === undefined) {
            return createProblem("no-configuration");
        }
        const route = configuration.routes.find(request.headers.host ?? "", request.url ?? "/");
        if (route === undefined) {
            return createProblem("no-route");
        }
        // Engines turn such requests away, and an answer to one could not be told from an answer to another.
        if (head.requestId === undefined) {
            return createProblem("bad-request");
        }
        const needsKey = configuration.hasAccounts && !route.isPublic;
        const account = head.apiKey === undefined ? undefined : configuration.accountsByKey.get(head.apiKey);
        if (needsKey && account === undefined) {
            return createProblem("unknown-key");
        }
        const name = needsKey ? account?.name : undefined;
        const identity = new RequestIdentity(name, request.method ?? "", request.url ?? "", body);
        const figures = this.accounts.createRequest(name, computeChargedTokens(this.context, { head, route }));
        const routed = { head, route, account: name, body, identity, arrivedAtMs, figures };
        return { request: routed, version, arrivedAtMs, handedOverBy: caller.handedOverBy };
    }

    private answerOwn(
        caller: CallerExchange,
        head: RequestHead,
        routed: RouteOutcome,
        reason: RouterResponseReason,
        retryAfterMs: number | undefined,
    ): void {
        const own = createRouterResponse(reason, retryAfterMs);
        const headers = { ...own.headers, ...this.context.codec.encodeRouterResponse(head.requestId) };
        // What is left of an unread body would be taken for the next request on the connection.
        const closes = !caller.request.complete || this.refusesNew;
        caller.answer(own.status, closes ? { ...headers, connection: "close" } : headers, own.body);
        const askedTokens = routed.request === undefined ? undefined : head.promptTokens;
        const end = { outcome: "refused" as const, reason, status: own.status, askedTokens };
        this.fireEnd(head, routed.arrivedAtMs, end, routed);
    }

    private fireEnd(
        head: RequestHead,
        arrivedAtMs: number,
        end: EndedRequest["end"],
        { request, version, handedOverBy }: RouteOutcome,
    ): void {
        request?.figures.recordEnd(end);
        this.endEmitter.fire({
            requestId: head.requestId,
            route: request?.route.name,
            account: request?.account,
            configurationVersion: version,
            handedOverBy,
            tookMs: this.context.clock.nowMs() - arrivedAtMs,
            end,
        });
    }
}
