import { RouteTable } from "../decisions/structures/routeTable.js";
import { RouteHistory, type StreamRoute } from "../decisions/versions/routeHistory.js";
import type { FleetSource } from "./fleetSource.js";
import type { CallerLimits, AccountConfiguration, GatewayConfiguration, RouteConfiguration } from "./configuration.js";

/** The configuration in force with its lookup structures. */
export interface ActiveConfiguration {
    readonly version: number;
    readonly routes: RouteTable<RouteConfiguration>;
    readonly accountsByKey: ReadonlyMap<string, AccountConfiguration>;
    readonly hasAccounts: boolean;
    readonly limits: CallerLimits;
    readonly source: GatewayConfiguration;
}

/** Holds the configuration in force; its version never decreases during the lifetime of the process. */
export class ConfigurationHolder {
    private inForce: ActiveConfiguration | undefined;
    private readonly streamRoutes = new RouteHistory();

    /** Undefined before the first configuration is received. */
    public get current(): ActiveConfiguration | undefined {
        return this.inForce;
    }

    /** The version in force; undefined while the platform is unreachable, as other routers may then have a newer version. */
    public findFreshVersion({ health }: Pick<FleetSource, "health">): number | undefined {
        return health.isConnected ? this.inForce?.version : undefined;
    }

    /**
     * Puts a configuration in force; returns false when it is not newer than the current one. A read that started before a newer
     * configuration arrived, or a peer that lags behind, would otherwise restore routes and keys that operators have removed.
     */
    public apply(configuration: GatewayConfiguration, nowMs: number): boolean {
        if (this.inForce !== undefined && configuration.version <= this.inForce.version) {
            return false;
        }
        const accountsByKey = new Map<string, AccountConfiguration>();
        for (const account of configuration.accounts) {
            for (const key of account.apiKeys) {
                accountsByKey.set(key, account);
            }
        }
        this.inForce = {
            version: configuration.version,
            routes: new RouteTable(configuration.routes),
            accountsByKey,
            hasAccounts: configuration.accounts.length > 0,
            limits: configuration.limits,
            source: configuration,
        };
        this.streamRoutes.record(listStreamRoutes(configuration), nowMs);
        return true;
    }

    /**
     * Services that the route of a stream's path has named within the last `periodMs`, as far as this process has read the
     * configuration; undefined if it has changed too often.
     */
    public listStreamServices(
        host: string,
        path: string,
        periodMs: number,
        nowMs: number,
    ): readonly string[] | undefined {
        return this.streamRoutes.listServices(host, path, periodMs, nowMs);
    }
}

function listStreamRoutes({ routes }: GatewayConfiguration): readonly StreamRoute[] {
    return routes
        .filter(({ kind }) => kind === "stream")
        .map(({ host, pathPrefix, destinations }) => ({
            host,
            pathPrefix,
            services: destinations.filter(({ weight }) => weight > 0).map(({ service }) => service),
        }));
}
