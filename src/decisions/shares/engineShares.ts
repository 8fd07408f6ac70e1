/**
 * Compares accounts at one engine by what was granted there.
 *
 * Load pattern: accounts overload the fleet while the totals of their usage are seconds old, as is the case with many
 * routers. By these totals an account whose burst has just begun still counts as within its share, and takes many times
 * what others receive. The owner of an engine sees all requests and grants there without delay. Requests are spread
 * over the engines, so accounts that are even at each engine are about even in the fleet.
 */
import { WindowedSum } from "../structures/windowedSum.js";
import { computeFairLevel } from "./accountShares.js";

/** Window in milliseconds; long enough that each account of an overload sends several requests to each engine. */
const spanMs = 4_000;

interface AccountSums {
    readonly asked: WindowedSum;
    readonly granted: WindowedSum;
    lastAtMs: number;
}

/** Records what accounts requested and were granted at one engine. */
export class EngineShares {
    private readonly accounts = new Map<number, AccountSums>();

    /** Records requested tokens. `account` is the account's hash; tokens count as they do in account shares. */
    public recordAsked(account: number, tokens: number, nowMs: number): void {
        this.findSums(account, nowMs).asked.add(tokens, nowMs);
    }

    public recordGranted(account: number, tokens: number, nowMs: number): void {
        this.findSums(account, nowMs).granted.add(tokens, nowMs);
    }

    /**
     * Ratio of what the account was granted here to the fair level of all grants. The last request is excluded, since a
     * single request may exceed the level.
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
