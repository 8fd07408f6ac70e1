import type { FlowOutcome } from "./flowOutcomes.js";
import type { RouterResponseReason } from "./routerResponse.js";

/** Reasons for which a request with an account may be refused, other than `busy`. */
const refusals = [
    "over-share",
    "late",
    "no-target",
    "targets-pausing",
    "stopping",
    "body-too-large",
    "suspect-runs",
    "crashes-targets",
] as const satisfies readonly RouterResponseReason[];

/** What a request may reach on its way; docs/OPERATIONS.md says what each means. */
export const accountStages = [
    "read",
    "shed",
    "asked-owner",
    "owner-silent",
    "decided-by-owner",
    "decided-by-beliefs",
    "decided-by-memory",
    "granted",
    "sent",
    "begun",
    "left-unread",
    "left-before-output",
    "left-during-output",
    "in-time",
    "late",
    "failed",
    ...refusals.map(reason => `refused-${reason}` as const),
    "refused-other",
] as const;

/** One of {@link accountStages}. */
export type AccountStage = (typeof accountStages)[number];

/** Stages that a request has reached are the bits of a 32-bit number. */
const mostStages = 31;
if (accountStages.length > mostStages) {
    throw new RangeError("more stages than bits");
}

const stageIndexes = new Map(accountStages.map((stage, index) => [stage, index]));
/** Of the stages in which the router refused a request. */
const refusedIndexes = accountStages.flatMap((stage, index) =>
    stage === "shed" || stage.startsWith("refused-") ? [index] : [],
);
const refusedStageByReason = new Map<string, AccountStage>([
    ["busy", "shed"],
    ...refusals.map(reason => [reason, `refused-${reason}`] as const),
]);

/** Requests and tokens by stage. */
export class StageCounts {
    private readonly requests = new Float64Array(accountStages.length);
    private readonly tokens = new Float64Array(accountStages.length);

    public add(index: number, tokens: number): void {
        this.requests[index] += 1;
        this.tokens[index] += tokens;
    }

    public getRequests(stage: AccountStage): number {
        return this.requests[stageIndexes.get(stage) ?? 0];
    }

    public getTokens(stage: AccountStage): number {
        return this.tokens[stageIndexes.get(stage) ?? 0];
    }

    /** Stages that a request has reached. */
    public listReachedStages(): readonly AccountStage[] {
        return accountStages.filter(stage => this.getRequests(stage) > 0);
    }

    /** Requests that the router refused, for whatever reason. */
    public countRefused(): number {
        return refusedIndexes.reduce((sum, index) => sum + this.requests[index], 0);
    }

    /** Takes over the counts of another. */
    public setAll(other: StageCounts): void {
        this.requests.set(other.requests);
        this.tokens.set(other.tokens);
    }

    /** What was counted since `before`. */
    public createDifference(before: StageCounts): StageCounts {
        const difference = new StageCounts();
        for (let index = 0; index < accountStages.length; index++) {
            difference.requests[index] = this.requests[index] - before.requests[index];
            difference.tokens[index] = this.tokens[index] - before.tokens[index];
        }
        return difference;
    }
}

/** Accounts that are counted by name; a fleet's steady ones several times over on one router. */
const mostNamedAccounts = 100;
/** Stands for all accounts beyond those that are counted by name. */
export const otherAccountsLabel = "other";

/** What became of the requests of each account at this router since its start. */
export class AccountStatistics {
    private readonly accounts = new Map<string, StageCounts>();

    /** `account`: undefined on public routes; `tokens`: what the request counts against its account's share. */
    public createRequest(account: string | undefined, tokens: number): RequestStatistics {
        return new RequestStatistics(account === undefined ? undefined : this.openCounts(account), tokens);
    }

    public listAll(): readonly (readonly [account: string, counts: StageCounts])[] {
        return [...this.accounts];
    }

    /** Counts of the account, or of all others together beyond a number of accounts. */
    private openCounts(account: string): StageCounts {
        const known = this.accounts.get(account);
        if (known !== undefined) {
            return known;
        }
        const name = this.accounts.size < mostNamedAccounts ? account : otherAccountsLabel;
        const counts = this.accounts.get(name) ?? new StageCounts();
        this.accounts.set(name, counts);
        return counts;
    }
}

/** Counts one request, at most once in each stage. */
export class RequestStatistics {
    /** A bit for each stage that it has reached. */
    private reached = 0;

    /**
     * `counts`: of its account, undefined on public routes; `tokens`: what it counts against its account's share.
     */
    public constructor(
        private readonly counts: StageCounts | undefined,
        private readonly tokens: number,
    ) {}

    public record(stage: AccountStage): void {
        const index = stageIndexes.get(stage) ?? 0;
        const bit = 1 << index;
        if ((this.reached & bit) === 0) {
            this.reached |= bit;
            this.counts?.add(index, this.tokens);
        }
    }

    public recordEnd(end: Pick<FlowOutcome, "outcome" | "reason"> & Partial<FlowOutcome>): void {
        this.record(this.findEndStage(end));
    }

    private findEndStage({
        outcome,
        reason,
        timeliness,
        firstOutputMs,
    }: Pick<FlowOutcome, "outcome" | "reason"> & Partial<FlowOutcome>): AccountStage {
        switch (outcome) {
            case "answered":
                return timeliness === "late-first-output" || timeliness === "late-pause" ? "late" : "in-time";
            case "refused":
                return refusedStageByReason.get(reason) ?? "refused-other";
            case "left":
                return this.findLeftStage(firstOutputMs);
            default:
                return "failed";
        }
    }

    private findLeftStage(firstOutputMs: number | undefined): AccountStage {
        if ((this.reached & 1) === 0) {
            return "left-unread";
        }
        return firstOutputMs === undefined ? "left-before-output" : "left-during-output";
    }
}
