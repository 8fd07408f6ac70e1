/**
 * Retry delay of callers whose account is beyond its fair share, at a router that is short of processor time.
 *
 * Load pattern: an account sends many times its share for several seconds. If its callers all return after the same short delay, they are
 * refused again, their new connections arrive in bursts that the router cannot accept, and callers of other accounts get no connection.
 * The account has room again once enough of what it was served has left the window that shares are computed over, and callers that return
 * then are served.
 */
import type { Random } from "../../base/random.js";

/** Bounds of the random factor by which delays differ, so that the callers of an account return one after the other. */
const spreadBounds = { min: 0.75, max: 1.25 } as const;

/**
 * Delay until an account that is served nothing meanwhile is back at its share, spread at random; milliseconds, 0 for an account within its
 * share. `share`: what it was served, divided by its share of the window.
 */
export function computeShareReturnMs(share: number, windowMs: number, random: Random): number {
    const aboveShare = share > 1 ? 1 - 1 / share : 0;
    return windowMs * aboveShare * (spreadBounds.min + (spreadBounds.max - spreadBounds.min) * random.next());
}
