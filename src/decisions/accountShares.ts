/**
 * Max-min fair shares of the fleet's throughput among client accounts, over a sliding window.
 *
 * Load pattern: one account sends many times its usual, or a few large accounts ask for more than all engines give. Without
 * shares, what is refused for want of capacity hits everybody alike, so the small accounts lose most of the little they
 * ask for. With them, an account that asks for less than the even share gets all of it, and those that ask for more get
 * equal amounts (max-min fairness; Bertsekas and Gallager, Data Networks, 6.5.2).
 *
 * Routers tell each other what accounts asked of them and got, so that the sums are the fleet's; what is heard late is
 * late by one round of messages, against a window of seconds.
 */
import { WindowedSum } from "./windowedSum.js";

/** What an account asked for and got within the window, in tokens. */
export interface AccountUse {
    readonly asked: number;
    readonly served: number;
}

/** Accounts that were quiet for this many windows are forgotten. */
const forgetAfterWindows = 4;

/** The level at which capacity is used up when everybody gets at most that much; infinite while capacity suffices. */
export function computeFairLevel(asked: readonly number[], capacity: number): number {
    const sorted = [...asked].sort((a, b) => a - b);
    let left = capacity;
    for (const [index, amount] of sorted.entries()) {
        const even = left / (sorted.length - index);
        if (amount > even) {
            return even;
        }
        left -= amount;
    }
    return Number.POSITIVE_INFINITY;
}

/** Keeps what this router's accounts asked and got, and compares with the fleet's fair level. */
export class AccountShares {
    private readonly own = new Map<string, { asked: WindowedSum; served: WindowedSum; lastAtMs: number }>();

    public constructor(private readonly windowMs: number) {}

    public recordAsked(account: string, tokens: number, nowMs: number): void {
        const use = this.openAccount(account, nowMs);
        use.asked.add(tokens, nowMs);
    }

    /** `tokens` is negative to take back what was counted for a request that then failed. */
    public recordServed(account: string, tokens: number, nowMs: number): void {
        this.openAccount(account, nowMs).served.add(tokens, nowMs);
    }

    /** What this router's accounts asked and got in the window. */
    public listOwn(nowMs: number): ReadonlyMap<string, AccountUse> {
        const uses = new Map<string, AccountUse>();
        for (const [account, use] of this.own) {
            if (nowMs - use.lastAtMs > forgetAfterWindows * this.windowMs) {
                this.own.delete(account);
            } else {
                uses.set(account, { asked: use.asked.getTotal(nowMs), served: use.served.getTotal(nowMs) });
            }
        }
        return uses;
    }

    /**
     * What the account got, over its fair share; 0 while nothing is known. Above 1 it has had its share.
     * `peers`: what other routers say of the accounts; `tokensPerSecond`: what the fleet gives.
     */
    public computeShareUse(
        account: string,
        peers: readonly ReadonlyMap<string, AccountUse>[],
        tokensPerSecond: number,
        nowMs: number,
    ): number {
        const asked = new Map<string, number>();
        let served = 0;
        for (const uses of [this.listOwn(nowMs), ...peers]) {
            for (const [name, use] of uses) {
                asked.set(name, (asked.get(name) ?? 0) + use.asked);
            }
            served += uses.get(account)?.served ?? 0;
        }
        const capacity = (tokensPerSecond * this.windowMs) / 1_000;
        const level = computeFairLevel([...asked.values()], capacity);
        return served / Math.max(1, level);
    }

    private openAccount(account: string, nowMs: number): { asked: WindowedSum; served: WindowedSum; lastAtMs: number } {
        let use = this.own.get(account);
        if (use === undefined) {
            use = { asked: new WindowedSum(this.windowMs), served: new WindowedSum(this.windowMs), lastAtMs: nowMs };
            this.own.set(account, use);
        }
        use.lastAtMs = nowMs;
        return use;
    }
}
