import type { Clock } from "../../base/clock.js";
import { hashFast } from "../../base/hash.js";
import { chooseAggregator, type AggregatorCandidate } from "../../decisions/placement/aggregators.js";
import type { ReportedRouter, RouterAccounts } from "../../decisions/shares/accountShares.js";
import {
    mergeTotals,
    emptyTotals,
    removeReport,
    type AccountTotals,
    type ReceivedTotals,
} from "../../decisions/shares/accountTotals.js";
import type { RouterCondition } from "./peerMessage.js";
import type { TotalsMessage } from "./totalsMessage.js";

/** Time between two reports of a router, and between two sums of an aggregator. */
export const aggregationPeriodMs = 100;
/** Sums are not used for longer; several periods, so that a lost datagram does no harm. */
const totalsTtlMs = 600;
/** An aggregator whose sums stay away for so long is passed over, and tried again later. */
const silenceMs = 800;
const suspicionMs = 4_000;
/** Own reports that may still be part of sums under way. */
const keptReports = 16;

/** A message and the router that it goes to. */
export interface OutgoingTotalsMessage {
    readonly routerId: string;
    readonly message: TotalsMessage;
}

/** What all other routers had together when they last reported, and which of them the sums are over. */
export interface OtherRouters {
    readonly totals: ReportedRouter;
    readonly routerHashes: ReadonlySet<number>;
}

/** Sums over the fleet; its age is that at the time of reading. */
class FleetTotals implements ReportedRouter {
    public constructor(
        private readonly totals: AccountTotals,
        private readonly receivedAtMs: number,
        private readonly clock: Clock,
    ) {}

    public get coveredMs(): number {
        return this.totals.coveredMs;
    }

    public get accounts(): AccountTotals["accounts"] {
        return this.totals.accounts;
    }

    public get routerCount(): number {
        return this.totals.members.length;
    }

    public get ageMs(): number {
        return this.totals.ageMs + this.clock.nowMs() - this.receivedAtMs;
    }
}

/** What an {@link AccountAggregation} needs. */
export interface AccountAggregationOptions {
    readonly ownId: string;
    readonly clock: Clock;
    readonly listOwnAccounts: () => RouterAccounts;
    readonly getCondition: () => RouterCondition;
    /** Conditions of the other routers with a recent message, by id. */
    readonly getConditions: () => ReadonlyMap<string, RouterCondition>;
}

/**
 * This router's part in summing up accounts' use, without a network: it reports to the aggregator of its data centre, and sums up
 * others' reports where it is the aggregator itself.
 */
export class AccountAggregation {
    private readonly ownHash: number;
    /** Begins above what earlier starts of the router used. */
    private sequence: number;
    private readonly ownReports = new Map<number, AccountTotals>();
    private readonly reports = new Map<string, ReceivedTotals>();
    private readonly subtotals = new Map<string, ReceivedTotals>();
    private receivedAtMs = Number.NEGATIVE_INFINITY;
    private others: OtherRouters | undefined;
    private readonly suspectedUntilMs = new Map<string, number>();
    private aggregatorId: string | undefined;
    private answeredAtMs = 0;
    private reportedAtMs = Number.NEGATIVE_INFINITY;

    public constructor(private readonly options: AccountAggregationOptions) {
        this.ownHash = hashFast(options.ownId);
        this.sequence = options.clock.nowDate().getTime();
    }

    /** The router that sums up for this one's data centre, as far as it knows; undefined before the first report. */
    public get aggregator(): string | undefined {
        return this.aggregatorId;
    }

    /** Makes this period's messages. */
    public createMessages(): readonly OutgoingTotalsMessage[] {
        const nowMs = this.options.clock.nowMs();
        const own = this.createReport();
        this.updateAggregator(nowMs);
        if (this.aggregatorId === undefined) {
            return [];
        }
        if (this.aggregatorId !== this.options.ownId) {
            return [{ routerId: this.aggregatorId, message: { scope: "router", totals: own } }];
        }
        return this.createSums(own, nowMs);
    }

    public applyMessage(senderId: string, { scope, totals }: TotalsMessage): void {
        const received = { totals, receivedAtMs: this.options.clock.nowMs() };
        switch (scope) {
            case "router":
                this.reports.set(senderId, received);
                break;
            case "data-centre":
                this.subtotals.set(senderId, received);
                break;
            case "fleet":
                if (senderId === this.aggregatorId) {
                    this.applyFleet(totals, received.receivedAtMs);
                    this.answeredAtMs = received.receivedAtMs;
                }
                break;
        }
    }

    /** What the other routers had, by sums that are fresh; undefined without such sums. */
    public findOtherRouters(): OtherRouters | undefined {
        const isFresh = this.receivedAtMs + totalsTtlMs >= this.options.clock.nowMs();
        return isFresh ? this.others : undefined;
    }

    /** Takes sums over the fleet. Those with a report of an earlier start of this router are left aside. */
    private applyFleet(totals: AccountTotals, receivedAtMs: number): void {
        const included = totals.members.find(member => member.routerHash === this.ownHash);
        const ownReport = included === undefined ? emptyTotals : this.ownReports.get(included.sequence);
        if (ownReport === undefined) {
            return;
        }
        const others = removeReport(totals, ownReport);
        this.receivedAtMs = receivedAtMs;
        this.others = {
            totals: new FleetTotals(others, receivedAtMs, this.options.clock),
            routerHashes: new Set(others.members.map(member => member.routerHash)),
        };
    }

    private createReport(): AccountTotals {
        const { coveredMs, accounts } = this.options.listOwnAccounts();
        this.sequence += 1;
        const report = {
            members: [{ routerHash: this.ownHash, sequence: this.sequence }],
            ageMs: 0,
            coveredMs,
            accounts: new Map([...accounts].filter(([, use]) => use.asked > 0 || use.served > 0)),
        };
        this.ownReports.set(this.sequence, report);
        this.ownReports.delete(this.sequence - keptReports);
        return report;
    }

    /** Sums for the other aggregators and for the routers of this data centre. */
    private createSums(own: AccountTotals, nowMs: number): readonly OutgoingTotalsMessage[] {
        const dataCentre = this.options.getCondition().dataCentre;
        const conditions = this.options.getConditions();
        const subtotal = mergeTotals([{ totals: own, receivedAtMs: nowMs }, ...listFresh(this.reports, nowMs)], nowMs);
        const totals = mergeTotals(
            [{ totals: subtotal, receivedAtMs: nowMs }, ...listFresh(this.subtotals, nowMs)],
            nowMs,
        );
        this.applyFleet(totals, nowMs);
        const members = [...conditions].filter(([, condition]) => condition.dataCentre === dataCentre);
        const others = new Set([...conditions.values()].map(condition => condition.dataCentre));
        others.delete(dataCentre);
        const aggregators = [...others].flatMap(
            other => chooseAggregator(other, listCandidates(conditions, other)) ?? [],
        );
        return [
            ...aggregators.map(routerId => createSend(routerId, "data-centre", subtotal)),
            ...members.map(([routerId]) => createSend(routerId, "fleet", totals)),
        ];
    }

    private updateAggregator(nowMs: number): void {
        const { ownId } = this.options;
        const before = this.aggregatorId;
        // Without reports of this router there were no answers to wait for.
        if (nowMs - this.reportedAtMs > silenceMs) {
            this.answeredAtMs = nowMs;
        }
        this.reportedAtMs = nowMs;
        if (before !== undefined && before !== ownId && nowMs - this.answeredAtMs > silenceMs) {
            this.suspectedUntilMs.set(before, nowMs + suspicionMs);
        }
        for (const [routerId, untilMs] of this.suspectedUntilMs) {
            if (untilMs <= nowMs) {
                this.suspectedUntilMs.delete(routerId);
            }
        }
        const { dataCentre, ...own } = this.options.getCondition();
        const candidates = [
            { routerId: ownId, ...own },
            ...listCandidates(this.options.getConditions(), dataCentre),
        ].filter(({ routerId }) => !this.suspectedUntilMs.has(routerId));
        this.aggregatorId = chooseAggregator(dataCentre, candidates);
        if (this.aggregatorId !== before) {
            this.answeredAtMs = nowMs;
        }
    }
}

function listCandidates(
    conditions: ReadonlyMap<string, RouterCondition>,
    dataCentre: string,
): readonly AggregatorCandidate[] {
    return [...conditions]
        .filter(([, condition]) => condition.dataCentre === dataCentre)
        .map(([routerId, { processorShare, isWithdrawn }]) => ({ routerId, processorShare, isWithdrawn }));
}

function listFresh(received: Map<string, ReceivedTotals>, nowMs: number): readonly ReceivedTotals[] {
    for (const [senderId, { receivedAtMs }] of received) {
        if (nowMs - receivedAtMs > totalsTtlMs) {
            received.delete(senderId);
        }
    }
    return [...received.values()];
}

function createSend(routerId: string, scope: TotalsMessage["scope"], totals: AccountTotals): OutgoingTotalsMessage {
    return { routerId, message: { scope, totals } };
}
