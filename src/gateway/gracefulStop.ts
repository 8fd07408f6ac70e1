import { CancellationTokenSource, type CancellationToken } from "../base/cancellation.js";
import type { Logger } from "../base/log.js";
import { sleepOnTimer } from "../base/sleep.js";
import type { HttpListener } from "../control/server.js";
import type { CallerServer } from "./callerServer.js";
import type { ConnectionSharing } from "./connectionSharing.js";
import type { GatewayService } from "./gatewayService.js";
import type { StreamVersions } from "./streams/streamVersions.js";

/** What a stopping router closes and waits for. */
export interface StoppingParts {
    readonly logger: Logger;
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
/** Part of the stop grace period reserved for closing sockets and ending the process; milliseconds. */
const exitMarginMs = 800;

/** Stops a router within a grace period: waits until the balancer has withdrawn it, then until all responses have been sent. */
export class GracefulStop {
    public constructor(private readonly parts: StoppingParts) {}

    public async run(graceMs: number): Promise<void> {
        const { logger, service, callers, sharing, streams } = this.parts;
        logger.write("info", "stopping", { openRequests: service.openRequests });
        const cancellation = new CancellationTokenSource();
        const timer = setTimeout(() => cancellation.cancel(), graceMs - exitMarginMs);
        callers.closeWithResponses();
        sharing.stopOffering();
        await sleepOnTimer(balancerWithdrawalMs, cancellation.token);
        service.refuseNewRequests();
        callers.stopAccepting();
        sharing.stopAccepting();
        await this.waitForOpen(cancellation.token);
        clearTimeout(timer);
        streams.sendAll();
        // Node hands a datagram over to the system one turn later, and drops those of a socket that has been closed.
        await new Promise(resolve => setImmediate(resolve));
        const { unsentResponses } = callers;
        logger.write("info", "stopped", { openRequests: service.openRequests, unsentResponses });
    }

    /** A response that has been ended still waits for its reader. */
    private async waitForOpen(token: CancellationToken): Promise<void> {
        const { service, callers, sharing, listeners } = this.parts;
        const countOpen = (): number =>
            [callers, ...listeners].reduce((sum, { unsentResponses }) => sum + unsentResponses, 0) +
            service.openRequests +
            sharing.open;
        while (countOpen() > 0 && !token.isCancelled) {
            await sleepOnTimer(openPollMs, token);
        }
    }
}
