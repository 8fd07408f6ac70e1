import type { Disposable } from "../base/lifecycle.js";
import type { Logger } from "../base/log.js";
import { StageCounts } from "./accountStatistics.js";
import type { AccountSnapshot } from "./accountMetrics.js";

const intervalMs = 1_000;
/** Maximum number of accounts named in one line. */
const maxAccounts = 5;

interface RefusedAccount extends AccountSnapshot {
    /** Increase within the last interval. */
    readonly counts: StageCounts;
    readonly refused: number;
}

/**
 * Logs a line for each second in which requests of accounts were refused, with the stages that the requests of the most refused
 * accounts reached. Log lines of single requests are rate limited, so an account with few requests may not appear in any of them.
 */
export class AccountSummary implements Disposable {
    private readonly timer = setInterval(() => this.write(), intervalMs);
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
            const sumsAgeMs = refused[0].computeUsage()?.sumsAgeMs;
            this.logger.write("info", "accounts with refused requests", {
                accounts: refused.slice(0, maxAccounts).map(formatAccount).join("; "),
                others: Math.max(0, refused.length - maxAccounts),
                sumsAgeMs: sumsAgeMs === undefined ? undefined : Math.round(sumsAgeMs),
            });
        }
    }

    private takeRefused(): RefusedAccount[] {
        const refused: RefusedAccount[] = [];
        for (const snapshot of this.listAccounts()) {
            const { account, counts } = snapshot;
            const before = this.before.get(account) ?? new StageCounts();
            const count = counts.countRefused() - before.countRefused();
            if (count > 0) {
                refused.push({ ...snapshot, counts: counts.createDifference(before), refused: count });
            }
            before.setAll(counts);
            this.before.set(account, before);
        }
        return refused;
    }
}

function formatAccount({ account, counts, refused, computeUsage }: RefusedAccount): string {
    const usage = computeUsage();
    const shed = counts.getRequests("shed");
    const fields = [
        `read=${counts.getRequests("read")}`,
        `shed=${shed}`,
        `left=${counts.getRequests("left-unread") + counts.getRequests("left-before-output")}`,
        `refused=${refused - shed}`,
        `silent=${counts.getRequests("owner-silent")}`,
        `granted=${counts.getRequests("granted")}`,
        `begun=${counts.getRequests("begun")}`,
        `askedTokens=${Math.round(counts.getTokens("read"))}`,
        `begunTokens=${Math.round(counts.getTokens("begun"))}`,
        ...(usage === undefined ? [] : [`share=${usage.share.toFixed(2)}`, `surplus=${usage.surplus.toFixed(2)}`]),
    ];
    return [account, ...fields].join(" ");
}
