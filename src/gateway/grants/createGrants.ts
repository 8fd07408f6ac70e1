import type { Clock } from "../../base/clock.js";
import type { SetTimer } from "../../base/timers.js";
import { PrefillShare } from "../../decisions/admission/prefillShare.js";
import { TargetOwners } from "../../decisions/placement/targetOwners.js";
import { LazyMap } from "../lazyMap.js";
import type { PeerView } from "../peers/peerView.js";
import { GrantClient, type GrantTransport } from "./grantClient.js";
import { GrantExchange } from "./grantExchange.js";
import { GrantOwner, type GrantOwnerOptions } from "./grantOwner.js";
import type { GrantSettings } from "./spareCapacity.js";
import { GrantSpeeds } from "./grantSpeeds.js";

/** Dependencies of {@link createGrants}. */
export interface GrantsOptions extends GrantOwnerOptions {
    readonly ownId: string;
    readonly peers: Pick<PeerView, "routers">;
    readonly transport: GrantTransport;
    readonly clock: Clock;
    readonly setTimer: SetTimer;
}

/** Both roles of a router: it requests grants from engine owners, and decides on grants for the engines that it owns. */
export interface Grants {
    readonly client: GrantClient;
    readonly owner: GrantOwner;
    readonly exchange: GrantExchange;
}

/** Creates the estimates of the prefill share by service. */
export function createPrefillShares({ fillsSpareCapacity = false }: GrantSettings): LazyMap<PrefillShare> {
    return new LazyMap(() => new PrefillShare({ risesFasterInTime: fillsSpareCapacity }));
}

/** Creates the grant client, the grant owner and the exchange that dispatches messages to them. */
export function createGrants(options: GrantsOptions): Grants {
    const { ownId, peers, transport, clock, setTimer } = options;
    const owner = new GrantOwner(options);
    const client = new GrantClient({
        ownId,
        incarnation: clock.nowDate().getTime(),
        owners: new TargetOwners(() => peers.routers.routerIds),
        localOwner: owner,
        transport,
        clock,
        setTimer,
    });
    return { client, owner, exchange: new GrantExchange(client, owner, transport, new GrantSpeeds(options)) };
}
