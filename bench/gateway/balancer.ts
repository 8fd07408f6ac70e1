/** What a {@link Balancer} needs. */
export interface BalancerOptions {
    readonly routerCount: number;
    /** Routers are numbered data centre by data centre. */
    readonly routersPerDataCentre: number;
    /** Whether the router's readiness check passes. */
    readonly isReady: (routerIndex: number) => boolean;
}

/** A router that misses so many checks in a row gets no new connections. */
const mostMisses = 2;

/**
 * The balancer before the routers: checks their readiness, and sends a caller to a router of its data centre by a hash. Where fewer
 * than half of a data centre's routers are left it uses all of them.
 */
export class Balancer {
    private readonly misses: number[];

    public constructor(private readonly options: BalancerOptions) {
        this.misses = Array.from({ length: options.routerCount }, () => 0);
    }

    /** Checks all routers once. */
    public checkRouters(): void {
        for (const index of this.misses.keys()) {
            this.misses[index] = this.options.isReady(index) ? 0 : this.misses[index] + 1;
        }
    }

    /** The router that a caller with this hash is sent to. */
    public chooseRouter(dataCentre: number, callerHash: number): number {
        const { routersPerDataCentre } = this.options;
        const from = dataCentre * routersPerDataCentre;
        const all = [...this.misses.keys()].slice(from, from + routersPerDataCentre);
        const hashed = all[callerHash % all.length];
        const left = all.filter(index => this.misses[index] < mostMisses);
        return left.length * 2 < all.length || left.includes(hashed) ? hashed : left[callerHash % left.length];
    }
}
