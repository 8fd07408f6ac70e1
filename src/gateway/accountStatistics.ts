import type { FlowOutcome } from "./flowOutcomes.js";
import type { RouterResponseReason } from "./routerResponse.js";

/** Reasons other than `busy` and `returned` for which a request of an account may be refused. */
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

/** Stages that a request may reach while it is processed; docs/OPERATIONS.md describes each. */
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

/** The stages that a request has reached are stored as bits of a 32-bit signed number. */
const maxStages = 31;
if (accountStages.length > maxStages) {
    throw new RangeError("too many account stages: limit is 31");
}

const stageIndexes = new Map(accountStages.map((stage, index) => [stage, index]));
/** Indexes of the stages in which the router refused a request. */
const refusedIndexes = accountStages.flatMap((stage, index) =>
    stage === "shed" || stage.startsWith("refused-") ? [index] : [],
);
const refusedStageByReason = new Map<string, AccountStage>([
    ["busy", "shed"],
    ["returned", "shed"],
    ...refusals.map(reason => [reason, `refused-${reason}`] as const),
]);

/** Counts of requests and of their tokens by stage. */
export class StageCounts {
    private readonly requests = new Float64Array(accountStages.length);
    private readonly tokens = new Float64Array(accountStages.length);

    /** Counts one request of `tokens` tokens at the stage with this index. */
    public add(index: number, tokens: number): void {
        this.requests[index] += 1;
        this.tokens[index] += tokens;
    }

    /** Number of requests that reached the stage. */
    public getRequests(stage: AccountStage): number {
        return this.requests[stageIndexes.get(stage) ?? 0];
    }

    /** Tokens of the requests that reached the stage. */
    public getTokens(stage: AccountStage): number {
        return this.tokens[stageIndexes.get(stage) ?? 0];
    }

    /** Stages that at least one request has reached. */
    public listReachedStages(): readonly AccountStage[] {
        return accountStages.filter(stage => this.getRequests(stage) > 0);
    }

    /** Number of requests that the router refused, for any reason. */
    public countRefused(): number {
        return refusedIndexes.reduce((sum, index) => sum + this.requests[index], 0);
    }

    /** Replaces the counts by those of `other`. */
    public setAll(other: StageCounts): void {
        this.requests.set(other.requests);
        this.tokens.set(other.tokens);
    }

    /** Returns the increase of each count since `before`. */
    public createDifference(before: StageCounts): StageCounts {
        const difference = new StageCounts();
        for (let index = 0; index < accountStages.length; index++) {
            difference.requests[index] = this.requests[index] - before.requests[index];
            difference.tokens[index] = this.tokens[index] - before.tokens[index];
        }
        return difference;
    }
}

/** Maximum number of accounts counted by name; several times a fleet's usual number of accounts. */
const maxNamedAccounts = 100;
/** Label under which all accounts beyond the limit of named accounts are counted together. */
export const otherAccountsLabel = "other";

/** Counts the requests of each account on this router since its start, by the stages that they reached. */
export class AccountStatistics {
    private readonly accounts = new Map<string, StageCounts>();

    /** Creates the statistics of one request. `account` is undefined on public routes; `tokens` are charged to its account's share. */
    public createRequest(account: string | undefined, tokens: number): RequestStatistics {
        return new RequestStatistics(account === undefined ? undefined : this.findCounts(account), tokens);
    }

    /** All accounts that are counted by name, and the group of the others, with their counts. */
    public listAll(): readonly (readonly [account: string, counts: StageCounts])[] {
        return [...this.accounts];
    }

    /** Finds or creates the counts of the account; beyond the limit of named accounts, those of the group of others. */
    private findCounts(account: string): StageCounts {
        const existing = this.accounts.get(account);
        if (existing !== undefined) {
            return existing;
        }
        const name = this.accounts.size < maxNamedAccounts ? account : otherAccountsLabel;
        const counts = this.accounts.get(name) ?? new StageCounts();
        this.accounts.set(name, counts);
        return counts;
    }
}

/** Counts one request, at most once for each stage. */
export class RequestStatistics {
    /** Bit mask of the stages that the request has reached. */
    private reached = 0;

    /** `counts`: those of its account, undefined on public routes; `tokens`: tokens charged to its account's share. */
    public constructor(
        private readonly counts: StageCounts | undefined,
        private readonly tokens: number,
    ) {}

    /** Counts the request at the stage, unless it was counted there before. */
    public record(stage: AccountStage): void {
        const index = stageIndexes.get(stage) ?? 0;
        const bit = 1 << index;
        if ((this.reached & bit) === 0) {
            this.reached |= bit;
            this.counts?.add(index, this.tokens);
        }
    }

    /** Counts the request at the stage that describes how it ended. */
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
                return this.findDisconnectStage(firstOutputMs);
            default:
                return "failed";
        }
    }

    private findDisconnectStage(firstOutputMs: number | undefined): AccountStage {
        if ((this.reached & 1) === 0) {
            return "left-unread";
        }
        return firstOutputMs === undefined ? "left-before-output" : "left-during-output";
    }
}
