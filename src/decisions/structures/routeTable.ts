/** Attributes of a route that the route table matches. */
export interface RoutePattern {
    /** Lower case, without a port. */
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
}

/** Finds the route of a request by its host and the longest matching path prefix. */
export class RouteTable<T extends RoutePattern> {
    /** Routes of each host, sorted by descending prefix length, so that the first match is the longest. */
    private readonly byHost = new Map<string, T[]>();

    public constructor(routes: readonly T[]) {
        for (const route of routes) {
            const hostRoutes = this.byHost.get(route.host) ?? [];
            hostRoutes.push(route);
            this.byHost.set(route.host, hostRoutes);
        }
        for (const hostRoutes of this.byHost.values()) {
            hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
        }
    }

    /** `host`: value of the `Host` header; `target`: path with an optional query. Undefined if no route matches. */
    public find(host: string, target: string): T | undefined {
        const path = target.split("?", 1)[0];
        const hostName = host.replace(/:\d*$/, "").toLowerCase();
        return this.byHost.get(hostName)?.find(route => path.startsWith(route.pathPrefix));
    }
}
