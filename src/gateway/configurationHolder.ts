import { RouteTable } from "../decisions/structures/routeTable.js";
import type { FleetSource } from "./fleetSource.js";
import type { CallerLimits, AccountConfiguration, GatewayConfiguration, RouteConfiguration } from "./configuration.js";

/** A configuration with what is looked up in it. */
export interface ActiveConfiguration {
    readonly version: number;
    readonly routes: RouteTable<RouteConfiguration>;
    readonly accountsByKey: ReadonlyMap<string, AccountConfiguration>;
    readonly hasAccounts: boolean;
    readonly limits: CallerLimits;
    readonly source: GatewayConfiguration;
}

/** Holds the configuration in force, whose version never falls while the process lives. */
export class ConfigurationHolder {
    private inForce: ActiveConfiguration | undefined;

    /** Undefined before the first one was read. */
    public get current(): ActiveConfiguration | undefined {
        return this.inForce;
    }

    /** The version in force while the platform is reached; otherwise a newer one may be in force at other routers. */
    public findFreshVersion({ health }: Pick<FleetSource, "health">): number | undefined {
        return health.isConnected ? this.inForce?.version : undefined;
    }

    /**
     * Puts a configuration in force. False when it is not newer: a read that was under way while a newer one arrived,
     * or a peer that lags, would otherwise bring back routes and keys that operators have taken away.
     */
    public apply(configuration: GatewayConfiguration): boolean {
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
        return true;
    }
}
