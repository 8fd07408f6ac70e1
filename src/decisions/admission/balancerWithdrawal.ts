/**
 * Decides which overloaded routers of a data centre leave the balancer.
 *
 * Load pattern: a burst overloads most routers of a data centre. If more than half of them leave, the balancer uses all of them again,
 * and their readiness has no effect; if the large ones leave, the small ones get their callers. So at most half of the routers leave, the
 * smallest first. All routers decide alike from their reported conditions, without a further message.
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

function compareRouters(first: OverloadedRouter, second: OverloadedRouter): number {
    return first.processorShare - second.processorShare || (first.routerId < second.routerId ? -1 : 1);
}
