import type { RouterLoad } from "../../decisions/admission/requestReturn.js";
import type { LoadSource } from "../loadMonitor.js";
import type { GatewaySettings } from "../settings.js";
import { BalancerPresence, type BalancerPresenceOptions, type WithdrawalStatistics } from "./balancerPresence.js";

/** Time for which derived values are reused: peers report every 100 ms at most; milliseconds. */
const cacheMs = 50;

/** Conditions of the other routers in this router's data centre. */
export class NeighbourLoads {
    private cached: readonly RouterLoad[] = [];
    private cachedAtMs = Number.NEGATIVE_INFINITY;
    private readonly presence: BalancerPresence;

    public constructor(private readonly options: BalancerPresenceOptions) {
        this.presence = new BalancerPresence(options);
    }

    /** Loads of the neighbours that receive connections from the balancer. */
    public listReady(): readonly RouterLoad[] {
        const { clock, getSettings, peers } = this.options;
        const nowMs = clock.nowMs();
        if (nowMs - this.cachedAtMs >= cacheMs) {
            this.cachedAtMs = nowMs;
            const { dataCentre } = getSettings();
            this.cached = [...peers.conditions.values()].filter(
                condition => condition.dataCentre === dataCentre && !condition.isWithdrawn,
            );
        }
        return this.cached;
    }

    /** Whether the balancer should send no new connections to this router. */
    public get shouldLeaveBalancer(): boolean {
        return this.presence.shouldLeaveBalancer;
    }

    /** Why the router is withdrawn from the balancer, and how often it was. */
    public get withdrawal(): WithdrawalStatistics {
        return this.presence.statistics;
    }
}

/** Load of this router, in the form in which it is compared with its neighbours. */
export function describeOwnLoad(
    { limits }: Pick<GatewaySettings, "limits">,
    { loop }: Pick<LoadSource, "loop">,
): RouterLoad {
    return { processorShare: limits.processorShare, utilization: loop.recentUtilization };
}
