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
const windowMs = 4_000;

interface AccountWindows {
    readonly asked: WindowedSum;
    readonly granted: WindowedSum;
    lastAtMs: number;
}

/** Records what accounts requested and were granted at one engine. */
export class EngineShares {
    private readonly accounts = new Map<number, AccountWindows>();

    /** Records requested tokens. `account` is the account's hash; tokens count as they do in account shares. */
    public recordRequested(account: number, tokens: number, nowMs: number): void {
        this.findWindows(account, nowMs).asked.add(tokens, nowMs);
    }

    public recordGranted(account: number, tokens: number, nowMs: number): void {
        this.findWindows(account, nowMs).granted.add(tokens, nowMs);
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
        const requested: number[] = [];
        for (const [id, windows] of this.accounts) {
            if (nowMs - windows.lastAtMs > windowMs) {
                this.accounts.delete(id);
            } else {
                requested.push(windows.asked.getTotal(nowMs));
                granted += windows.granted.getTotal(nowMs);
            }
        }
        return own / Math.max(1, computeFairLevel(requested, granted));
    }

    private findWindows(account: number, nowMs: number): AccountWindows {
        let windows = this.accounts.get(account);
        if (windows === undefined) {
            windows = { asked: new WindowedSum(windowMs), granted: new WindowedSum(windowMs), lastAtMs: nowMs };
            this.accounts.set(account, windows);
        }
        windows.lastAtMs = nowMs;
        return windows;
    }
}
