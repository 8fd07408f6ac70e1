import type { Clock } from "../../base/clock.js";
import type { Logger } from "../../base/log.js";
import { hasLargeRouterLeft, isWithdrawalAllowed } from "../../decisions/admission/balancerWithdrawal.js";
import {
    ReadinessReserve,
    type FleetRouter,
    type WithdrawalLevel,
} from "../../decisions/admission/readinessReserve.js";
import type { LoadSource } from "../loadMonitor.js";
import type { PeerView } from "../peers/peerView.js";
import type { GatewaySettings } from "../settings.js";

/** Dependencies of {@link BalancerPresence}. */
export interface BalancerPresenceOptions {
    readonly getSettings: () => Pick<
        GatewaySettings,
        "daemonId" | "dataCentre" | "limits" | "returnsRequests" | "yieldsToLargerRouters"
    >;
    readonly load: Pick<LoadSource, "shouldLeaveBalancer" | "loop">;
    readonly peers: Pick<PeerView, "conditions">;
    readonly clock: Clock;
    readonly logger: Logger;
}

/** Why a router is withdrawn from the balancer. */
export type WithdrawalReason = WithdrawalLevel | "overload";

/** Values of the metrics on withdrawal from the balancer. */
export interface WithdrawalStatistics {
    /** Undefined while the balancer may send connections. */
    readonly reason: WithdrawalReason | undefined;
    /** Utilization of this router by an even share of its data centre's work; 0 where it isn't computed. */
    readonly evenShare: number;
    /** Withdrawals since the start, by reason. */
    readonly counts: Readonly<Record<WithdrawalReason, number>>;
}

/** Time for which a decision is reused; the load is sampled as often. Milliseconds. */
const cacheMs = 50;
/** Interval between decisions on leaving callers to larger routers; about that of the neighbours' reports. Milliseconds. */
const reserveCheckMs = 200;
/** Utilization from which a neighbour counts as overloaded. */
const overloadedUtilization = 0.9;

/** Decides whether the balancer should send connections to this router, and reports the reasons in log lines and metrics. */
export class BalancerPresence {
    private readonly reserve = new ReadinessReserve();
    private readonly counts = { reserve: 0, "beyond-reserve": 0, overload: 0 };
    private level: WithdrawalLevel | undefined;
    private levelCheckedAtMs = Number.NEGATIVE_INFINITY;
    private reason: WithdrawalReason | undefined;
    private wasOverloaded = false;
    private checkedAtMs = Number.NEGATIVE_INFINITY;
    private leftAtMs = 0;

    public constructor(private readonly options: BalancerPresenceOptions) {}

    /** Whether the balancer should send no new connections. */
    public get shouldLeaveBalancer(): boolean {
        this.update();
        return this.reason !== undefined;
    }

    /** The current reason and counts since the start of the process. */
    public get statistics(): WithdrawalStatistics {
        this.update();
        return { reason: this.reason, evenShare: this.reserve.evenUtilization, counts: this.counts };
    }

    private update(): void {
        const { load, clock } = this.options;
        const nowMs = clock.nowMs();
        const isOverloaded = load.shouldLeaveBalancer;
        if (nowMs - this.checkedAtMs < cacheMs && isOverloaded === this.wasOverloaded) {
            return;
        }
        this.checkedAtMs = nowMs;
        this.wasOverloaded = isOverloaded;
        const reason = this.findReason(isOverloaded, nowMs);
        if (reason !== this.reason) {
            this.recordChange(reason, nowMs);
        }
    }

    private findReason(isOverloaded: boolean, nowMs: number): WithdrawalReason | undefined {
        const { returnsRequests, yieldsToLargerRouters } = this.options.getSettings();
        if (!returnsRequests && !yieldsToLargerRouters) {
            this.level = undefined;
            return isOverloaded ? "overload" : undefined;
        }
        this.updateLevel(yieldsToLargerRouters, nowMs);
        const reason = this.level ?? (isOverloaded ? "overload" : undefined);
        return reason !== undefined && this.isAllowed(yieldsToLargerRouters) ? reason : undefined;
    }

    private updateLevel(isEnabled: boolean, nowMs: number): void {
        if (!isEnabled) {
            this.level = undefined;
        } else if (nowMs - this.levelCheckedAtMs >= reserveCheckMs) {
            this.levelCheckedAtMs = nowMs;
            this.level = this.reserve.update(this.options.getSettings().daemonId, this.listRouters(), nowMs);
        }
    }

    private isAllowed(keepsLargeRouter: boolean): boolean {
        const { getSettings, peers } = this.options;
        const { daemonId, dataCentre, limits } = getSettings();
        const own = { routerId: daemonId, processorShare: limits.processorShare };
        const neighbours: FleetRouter[] = [];
        for (const [routerId, condition] of peers.conditions) {
            if (condition.dataCentre === dataCentre && routerId !== daemonId) {
                neighbours.push({ routerId, ...condition });
            }
        }
        const leaving = neighbours.filter(
            ({ isWithdrawn, utilization }) => isWithdrawn || utilization >= overloadedUtilization,
        );
        const shares = neighbours.map(({ processorShare }) => processorShare);
        return (
            isWithdrawalAllowed(own, leaving, neighbours.length + 1) &&
            (!keepsLargeRouter || hasLargeRouterLeft(own, leaving, shares))
        );
    }

    /** The fleet as far as conditions are recent, with this router. */
    private listRouters(): readonly FleetRouter[] {
        const { getSettings, load, peers } = this.options;
        const { daemonId, dataCentre, limits } = getSettings();
        const own: FleetRouter = {
            routerId: daemonId,
            dataCentre,
            processorShare: limits.processorShare,
            utilization: load.loop.utilization,
            isWithdrawn: this.reason !== undefined,
        };
        const others = [...peers.conditions].filter(([routerId]) => routerId !== daemonId);
        return [own, ...others.map(([routerId, condition]) => ({ routerId, ...condition }))];
    }

    private recordChange(reason: WithdrawalReason | undefined, nowMs: number): void {
        const { logger, load } = this.options;
        const previous = this.reason;
        this.reason = reason;
        const fields = {
            reason: reason ?? previous,
            utilization: Number(load.loop.utilization.toFixed(2)),
            evenShare: Number(this.reserve.evenUtilization.toFixed(2)),
        };
        if (reason === undefined) {
            logger.write("info", "returned to the balancer", { ...fields, afterMs: Math.round(nowMs - this.leftAtMs) });
            return;
        }
        this.counts[reason] += 1;
        if (previous === undefined) {
            this.leftAtMs = nowMs;
            logger.write("info", "withdrew from the balancer", fields);
        } else {
            logger.write("info", "withdrawn from the balancer for another reason", { ...fields, previous });
        }
    }
}
