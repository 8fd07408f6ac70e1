import type { Clock } from "../../base/clock.js";
import type { SetTimer } from "../../base/timers.js";
import { TargetOwners } from "../../decisions/placement/targetOwners.js";
import type { PeerView } from "../peers/peerView.js";
import { GrantClient, type GrantTransport } from "./grantClient.js";
import { GrantExchange } from "./grantExchange.js";
import { GrantOwner, type GrantOwnerOptions } from "./grantOwner.js";

/** What a router's part in granting is put together from. */
export interface GrantsOptions extends GrantOwnerOptions {
    readonly ownId: string;
    readonly peers: Pick<PeerView, "routers">;
    readonly transport: GrantTransport;
    readonly clock: Clock;
    readonly setTimer: SetTimer;
}

/** Both sides of a router: it asks owners for grants, and decides as the owner of some engines. */
export interface Grants {
    readonly client: GrantClient;
    readonly exchange: GrantExchange;
}

/** Puts a router's part in granting together. */
export function createGrants(parts: GrantsOptions): Grants {
    const { ownId, peers, transport, clock, setTimer } = parts;
    const owner = new GrantOwner(parts);
    const client = new GrantClient({
        ownId,
        incarnation: clock.nowDate().getTime(),
        owners: new TargetOwners(() => peers.routers.routerIds),
        localOwner: owner,
        transport,
        clock,
        setTimer,
    });
    return { client, exchange: new GrantExchange(client, owner, transport) };
}
