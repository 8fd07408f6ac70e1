import { CancellationTokenSource } from "../base/cancellation.js";
import type { Logger } from "../base/log.js";
import { sleepOnTimer } from "../base/sleep.js";
import type { HttpListener } from "../control/server.js";
import type { CallerServer } from "./callerServer.js";
import type { ConnectionSharing } from "./connectionSharing.js";
import type { GatewayService } from "./gatewayService.js";
import type { ShutdownDeadline } from "./shutdownDeadline.js";
import type { StreamVersions } from "./streams/streamVersions.js";

/** What a stopping router closes and waits for. */
export interface StoppingParts {
    readonly logger: Logger;
    readonly shutdown: Pick<ShutdownDeadline, "start" | "end">;
    readonly service: Pick<GatewayService, "openRequests" | "refuseNewRequests">;
    readonly callers: Pick<CallerServer, "unsentResponses" | "closeWithResponses" | "stopAccepting">;
    readonly sharing: Pick<ConnectionSharing, "open" | "stopOffering" | "stopAccepting">;
    /** Servers for the balancer, operators and other routers; they accept connections until the process ends. */
    readonly listeners: readonly Pick<HttpListener, "unsentResponses">[];
    readonly streams: Pick<StreamVersions, "sendAll">;
}

/** The balancer checks readiness once a second and sends no new connections after two failed checks; milliseconds. */
const balancerWithdrawalMs = 2_500;
const openPollMs = 50;
/** Part of the grace period reserved for sending the responses of requests that had to be ended; milliseconds. */
const responseMarginMs = 600;
/** Part of the grace period reserved for closing sockets and ending the process; milliseconds. */
const exitMarginMs = 250;

/**
 * Stops a router within a grace period: waits until the balancer has withdrawn it, then until all requests have ended and their responses
 * have been sent. Requests that last longer are ended with a response in time.
 */
export class GracefulStop {
    public constructor(private readonly parts: StoppingParts) {}

    public async run(graceMs: number): Promise<void> {
        const { logger, shutdown, service, callers, sharing, listeners, streams } = this.parts;
        logger.write("info", "stopping", { openRequests: service.openRequests });
        const requestsEnd = new CancellationTokenSource();
        const processEnd = new CancellationTokenSource();
        const timers = [
            setTimeout(() => requestsEnd.cancel(), graceMs - responseMarginMs),
            setTimeout(() => processEnd.cancel(), graceMs - exitMarginMs),
        ];
        shutdown.start(graceMs - responseMarginMs);
        callers.closeWithResponses();
        sharing.stopOffering();
        await sleepOnTimer(balancerWithdrawalMs, requestsEnd.token);
        service.refuseNewRequests();
        callers.stopAccepting();
        sharing.stopAccepting();
        await waitForZero(() => service.openRequests, requestsEnd);
        const endedRequests = service.openRequests;
        shutdown.end();
        streams.sendAll();
        // A response that has been ended still waits for its reader.
        const countUnsent = (): number =>
            [callers, ...listeners].reduce((sum, { unsentResponses }) => sum + unsentResponses, 0) + sharing.open;
        await waitForZero(() => service.openRequests + countUnsent(), processEnd);
        timers.forEach(timer => clearTimeout(timer));
        // Node hands a datagram over to the system one turn later, and drops those of a socket that has been closed.
        await new Promise(resolve => setImmediate(resolve));
        logger.write("info", "stopped", { endedRequests, unsentResponses: callers.unsentResponses });
    }
}

/** Waits until a count is zero, or until the source is cancelled. */
async function waitForZero(count: () => number, { token }: CancellationTokenSource): Promise<void> {
    while (count() > 0 && !token.isCancelled) {
        await sleepOnTimer(openPollMs, token);
    }
}
