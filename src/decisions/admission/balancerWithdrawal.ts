/**
 * Decides which routers of a data centre leave the balancer.
 *
 * Load patterns: a burst overloads most routers of a data centre. If more than half of them leave, the balancer uses all of them again,
 * and their readiness has no effect; if the large ones leave, the small ones get their callers. So at most half of the routers leave, the
 * smallest first. All routers decide alike from their reported conditions, without a further message.
 * Small routers may leave before they are overloaded (readinessReserve.ts), within the same limit.
 */

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

/** Ratio of processor shares from which one router counts as large beside another. */
const largeRatio = 1.5;

/**
 * Whether a large router remains in the balancer if this one leaves: the small ones would otherwise get its callers. In a data centre of about
 * equal routers there are no small ones, and the limit of half of them is sufficient. `others`: as for {@link isWithdrawalAllowed};
 * `processorShares`: of all other routers of the data centre.
 */
export function hasLargeRouterLeft(
    own: OverloadedRouter,
    others: readonly OverloadedRouter[],
    processorShares: readonly number[],
): boolean {
    const shares = [own.processorShare, ...processorShares];
    const least = Math.max(...shares) / largeRatio;
    const largeCount = shares.filter(share => share > least).length;
    if (own.processorShare <= least || largeCount === shares.length) {
        return true;
    }
    const before = others.filter(other => other.processorShare > least && compareRouters(other, own) < 0).length;
    return before < largeCount - 1;
}

/** Order in which the routers of a data centre leave: the smallest first. */
export function compareRouters(first: OverloadedRouter, second: OverloadedRouter): number {
    return first.processorShare - second.processorShare || (first.routerId < second.routerId ? -1 : 1);
}
