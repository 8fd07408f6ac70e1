import { Counter, Gauge, type Registry } from "prom-client";
import type { ShareUsage } from "../decisions/shares/accountShares.js";
import { accountStages, type AccountStage, type StageCounts } from "./accountStatistics.js";

/** Statistics of one account on this router. */
export interface AccountSnapshot {
    readonly account: string;
    readonly counts: StageCounts;
    /** Computes its usage of its fair share and of the surplus; undefined for the group of accounts that are counted together. */
    readonly computeUsage: () => ShareUsage | undefined;
}

/** Stages exported even when no request reached them, so that an account without service shows a zero instead of no series. */
const alwaysExportedStages: readonly AccountStage[] = ["read", "begun"];

/** Metrics by account, updated whenever the metrics page is rendered. */
export class AccountMetrics {
    private readonly requests: Counter<"account" | "stage">;
    private readonly tokens: Counter<"account" | "stage">;
    private readonly share: Gauge<"account">;
    private readonly surplus: Gauge<"account">;

    public constructor(registry: Registry) {
        const registers = [registry];
        // Collectors may truncate long pages, so the few gauges come before the many counters.
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

    /** Replaces all values by those of the given accounts. */
    public update(snapshots: readonly AccountSnapshot[]): void {
        this.requests.reset();
        this.tokens.reset();
        this.share.reset();
        this.surplus.reset();
        for (const { account, counts, computeUsage } of snapshots) {
            this.addStages(account, counts);
            const usage = computeUsage();
            if (usage !== undefined) {
                this.share.set({ account }, usage.share);
                this.surplus.set({ account }, usage.surplus);
            }
        }
    }

    private addStages(account: string, counts: StageCounts): void {
        for (const stage of accountStages) {
            const requests = counts.getRequests(stage);
            if (requests > 0 || alwaysExportedStages.includes(stage)) {
                this.requests.inc({ account, stage }, requests);
                this.tokens.inc({ account, stage }, counts.getTokens(stage));
            }
        }
    }
}
