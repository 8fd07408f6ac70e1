/**
 * How level accounts are at one engine, by what was granted there.
 *
 * Load pattern: accounts flood while the fleet's sums of their use are seconds old, as they are where there are many routers. By
 * these an account that has just begun to flood counts as within its share, and takes many times what others get. The owner
 * of an engine sees all that is asked and granted there, without delay. Requests spread over engines, so that accounts which
 * are level at each engine are about level in the fleet.
 */
import { WindowedSum } from "../structures/windowedSum.js";
import { computeFairLevel } from "./accountShares.js";

/** Long enough that each account of a flood asks several times at each engine; milliseconds. */
const spanMs = 4_000;

interface AccountSums {
    readonly asked: WindowedSum;
    readonly granted: WindowedSum;
    lastAtMs: number;
}

/** What accounts asked for and got at one engine. */
export class EngineShares {
    private readonly accounts = new Map<number, AccountSums>();

    /** By the account's hash; tokens as they count against accounts' shares. */
    public recordRequested(account: number, tokens: number, nowMs: number): void {
        this.findSums(account, nowMs).asked.add(tokens, nowMs);
    }

    public recordGranted(account: number, tokens: number, nowMs: number): void {
        this.findSums(account, nowMs).granted.add(tokens, nowMs);
    }

    /**
     * What the account got over the even level of what was granted here. The last request does not count: a single one may be more
     * than the level.
     */
    public computeSurplus(account: number, lastTokens: number, nowMs: number): number {
        const own = (this.accounts.get(account)?.granted.getTotal(nowMs) ?? 0) - lastTokens;
        if (own <= 0) {
            return 0;
        }
        let granted = 0;
        const asked: number[] = [];
        for (const [id, sums] of this.accounts) {
            if (nowMs - sums.lastAtMs > spanMs) {
                this.accounts.delete(id);
            } else {
                asked.push(sums.asked.getTotal(nowMs));
                granted += sums.granted.getTotal(nowMs);
            }
        }
        return own / Math.max(1, computeFairLevel(asked, granted));
    }

    private findSums(account: number, nowMs: number): AccountSums {
        let sums = this.accounts.get(account);
        if (sums === undefined) {
            sums = { asked: new WindowedSum(spanMs), granted: new WindowedSum(spanMs), lastAtMs: nowMs };
            this.accounts.set(account, sums);
        }
        sums.lastAtMs = nowMs;
        return sums;
    }
}
