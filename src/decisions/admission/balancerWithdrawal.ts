/**
 * Decides which routers of a data centre leave the balancer.
 *
 * Load patterns: a burst overloads most routers of a data centre. If more than half of them leave, the balancer uses all of them again,
 * and their readiness has no effect; if the large ones leave, the small ones get their callers. So at most half of the routers leave, the
 * smallest first. All routers decide alike from their reported conditions, without a further message.
 *
 * The balancer spreads callers evenly over routers of unequal size. A small one saturates while the others have spare processor time, and the
 * balancer notices its withdrawal only seconds later. A router therefore leaves before it saturates, as soon as an even part of the data
 * centre's work is more than it can take, and returns only once that part has become small.
 */
import type { RouterLoad } from "./requestReturn.js";

/** A router of the data centre that is overloaded or already withdrawn. */
export interface OverloadedRouter {
    readonly routerId: string;
    /** Fraction of a core that the router may use. */
    readonly processorShare: number;
}

/**
 * Whether a router may be withdrawn. `others`: the other routers of the data centre that are overloaded or withdrawn;
 * `routerCount`: all routers of the data centre, this one included.
 */
export function isWithdrawalAllowed(
    own: OverloadedRouter,
    others: readonly OverloadedRouter[],
    routerCount: number,
): boolean {
    const before = others.filter(other => compareRouters(other, own) < 0).length;
    return before < Math.floor(routerCount / 2);
}

function compareRouters(first: OverloadedRouter, second: OverloadedRouter): number {
    return first.processorShare - second.processorShare || (first.routerId < second.routerId ? -1 : 1);
}

/** Utilization by an even part of the data centre's work from which a smaller router leaves the balancer. */
const leaveUtilization = 0.7;
/** The same below which it returns. */
const returnUtilization = 0.45;
/** Utilization of the larger routers up to which they take the callers of smaller ones. */
const maxLargerUtilization = 0.6;
/** Ratio of the largest processor share in the data centre to the own one from which a router counts as smaller. */
const smallerRatio = 1.5;

/** Decides whether a router leaves its callers to larger routers of its data centre. */
export class YieldToLarger {
    private isYielding = false;

    /** Whether the router should leave the balancer. `neighbours`: the other routers of the data centre that are in the balancer. */
    public update(own: RouterLoad, neighbours: readonly RouterLoad[]): boolean {
        const larger = neighbours.filter(({ processorShare }) => processorShare >= own.processorShare * smallerRatio);
        const hasCapacity = larger.some(({ utilization }) => utilization < maxLargerUtilization);
        const threshold = this.isYielding ? returnUtilization : leaveUtilization;
        this.isYielding = hasCapacity && computeEvenUtilization(own, neighbours) > threshold;
        return this.isYielding;
    }
}

/** Utilization of the router by an even part of the work of all routers. */
function computeEvenUtilization(own: RouterLoad, neighbours: readonly RouterLoad[]): number {
    const work = [own, ...neighbours].reduce((sum, router) => sum + router.utilization * router.processorShare, 0);
    return work / (neighbours.length + 1) / own.processorShare;
}
