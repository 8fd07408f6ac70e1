import type { Disposable } from "../base/lifecycle.js";
import type { Logger } from "../base/log.js";
import { StageCounts } from "./accountStatistics.js";
import type { AccountSnapshot } from "./accountMetrics.js";

const spanMs = 1_000;
/** Accounts that a line names. */
const mostAccounts = 5;

interface RefusedAccount extends AccountSnapshot {
    /** Within the span. */
    readonly counts: StageCounts;
    readonly refused: number;
}

/**
 * Writes a line each second in which requests of accounts were refused: what became of the requests of the most refused
 * accounts. Lines of single requests are limited in rate, and of an account with few requests none may be left.
 */
export class AccountSummary implements Disposable {
    private readonly timer = setInterval(() => this.write(), spanMs);
    private readonly before = new Map<string, StageCounts>();

    public constructor(
        private readonly logger: Logger,
        private readonly listAccounts: () => readonly AccountSnapshot[],
    ) {}

    public dispose(): void {
        clearInterval(this.timer);
    }

    private write(): void {
        const refused = this.takeRefused().sort((a, b) => b.refused - a.refused);
        if (refused.length > 0) {
            this.logger.write("info", "accounts with refused requests", {
                accounts: refused.slice(0, mostAccounts).map(formatAccount).join("; "),
                others: Math.max(0, refused.length - mostAccounts),
            });
        }
    }

    private takeRefused(): RefusedAccount[] {
        const refused: RefusedAccount[] = [];
        for (const reading of this.listAccounts()) {
            const { account, counts } = reading;
            const before = this.before.get(account) ?? new StageCounts();
            const count = counts.countRefused() - before.countRefused();
            if (count > 0) {
                refused.push({ ...reading, counts: counts.createDifference(before), refused: count });
            }
            before.setAll(counts);
            this.before.set(account, before);
        }
        return refused;
    }
}

function formatAccount({ account, counts, refused, computeUsage: computeUse }: RefusedAccount): string {
    const use = computeUse();
    const shed = counts.getRequests("shed");
    const fields = [
        `read=${counts.getRequests("read")}`,
        `shed=${shed}`,
        `refused=${refused - shed}`,
        `granted=${counts.getRequests("granted")}`,
        `begun=${counts.getRequests("begun")}`,
        `askedTokens=${Math.round(counts.getTokens("read"))}`,
        `begunTokens=${Math.round(counts.getTokens("begun"))}`,
        ...(use === undefined ? [] : [`share=${use.share.toFixed(2)}`, `surplus=${use.surplus.toFixed(2)}`]),
    ];
    return [account, ...fields].join(" ");
}
