import { Counter, Gauge, type Registry } from "prom-client";
import type { ShareUsage } from "../decisions/shares/accountShares.js";
import { accountStages, type AccountStage, type StageCounts } from "./accountStatistics.js";

/** One account as this router sees it. */
export interface AccountSnapshot {
    readonly account: string;
    readonly counts: StageCounts;
    /** Its use of its share and of the surplus; undefined for several accounts that are counted together. */
    readonly computeUsage: () => ShareUsage | undefined;
}

/** Written even when no request reached them, so that an account that gets nothing shows a zero. */
const steadyStages: readonly AccountStage[] = ["read", "begun"];

/** Figures by account, which are read when the page is asked for. */
export class AccountMetrics {
    private readonly requests: Counter<"account" | "stage">;
    private readonly tokens: Counter<"account" | "stage">;
    private readonly share: Gauge<"account">;
    private readonly surplus: Gauge<"account">;

    public constructor(registry: Registry) {
        const registers = [registry];
        // Pages may be cut: the few gauges come before the many counters.
        this.share = new Gauge({
            name: "lynxarch_account_share",
            help: "What the account got over its fair share, as computed by this router.",
            labelNames: ["account"],
            registers,
        });
        this.surplus = new Gauge({
            name: "lynxarch_account_surplus",
            help: "What the account got just now over the even level, as computed by this router.",
            labelNames: ["account"],
            registers,
        });
        this.requests = new Counter({
            name: "lynxarch_account_requests_total",
            help: "Requests by account and what became of them.",
            labelNames: ["account", "stage"],
            registers,
        });
        this.tokens = new Counter({
            name: "lynxarch_account_tokens_total",
            help: "Tokens of these requests as they count against the account's share.",
            labelNames: ["account", "stage"],
            registers,
        });
    }

    public update(readings: readonly AccountSnapshot[]): void {
        this.requests.reset();
        this.tokens.reset();
        this.share.reset();
        this.surplus.reset();
        for (const { account, counts, computeUsage: computeUse } of readings) {
            this.addStages(account, counts);
            const use = computeUse();
            if (use !== undefined) {
                this.share.set({ account }, use.share);
                this.surplus.set({ account }, use.surplus);
            }
        }
    }

    private addStages(account: string, counts: StageCounts): void {
        for (const stage of accountStages) {
            const requests = counts.getRequests(stage);
            if (requests > 0 || steadyStages.includes(stage)) {
                this.requests.inc({ account, stage }, requests);
                this.tokens.inc({ account, stage }, counts.getTokens(stage));
            }
        }
    }
}
