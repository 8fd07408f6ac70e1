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

/** Interval between a router's reports, and between an aggregator's totals; milliseconds. */
export const aggregationPeriodMs = 100;
/** Maximum age of received totals; milliseconds. Covers several periods, so that a lost datagram does no harm. */
const totalsTtlMs = 600;
/** An aggregator that has sent no totals for this long is skipped; milliseconds. */
const inactivityTimeoutMs = 800;
/** Time until a skipped aggregator is a candidate again; milliseconds. */
const suspicionMs = 4_000;
/** Number of own reports to keep: those that totals still in flight may include. */
const maxOwnReports = 16;

/** A message and the router that it is sent to. */
export interface OutgoingTotalsMessage {
    readonly routerId: string;
    readonly message: TotalsMessage;
}

/** Usage totals of other routers, and the routers that the totals cover. */
export interface OtherRouters {
    readonly totals: ReportedRouter;
    /** 32-bit hashes of the routers' ids. */
    readonly routerHashes: ReadonlySet<number>;
}

/** Totals over the fleet. `ageMs` is computed when it is accessed. */
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

/** Dependencies of an {@link AccountAggregation}. */
export interface AccountAggregationOptions {
    readonly ownId: string;
    readonly clock: Clock;
    /** Tokens that accounts requested from this router and were served. */
    readonly listOwnAccounts: () => RouterAccounts;
    /** This router's condition. */
    readonly getCondition: () => RouterCondition;
    /** Conditions of the other routers with a recent message, by id. */
    readonly getConditions: () => ReadonlyMap<string, RouterCondition>;
}

/**
 * Aggregates accounts' usage over the fleet; the caller sends and receives the messages. Each router reports to the aggregator of
 * its data centre. The aggregator, which is one of the routers, merges the reports and sends the totals back.
 */
export class AccountAggregation {
    private readonly ownHash: number;
    /** Starts at the wall-clock time, so that it exceeds all numbers of the router's earlier starts. */
    private sequence: number;
    private readonly ownReports = new Map<number, AccountTotals>();
    private readonly reports = new Map<string, ReceivedTotals>();
    private readonly subtotals = new Map<string, ReceivedTotals>();
    private appliedAtMs = Number.NEGATIVE_INFINITY;
    private others: OtherRouters | undefined;
    private readonly suspectedUntilMs = new Map<string, number>();
    private aggregatorId: string | undefined;
    /** When the last totals of the current aggregator were received, or the wait for them began. */
    private answeredAtMs = 0;
    private reportedAtMs = Number.NEGATIVE_INFINITY;

    public constructor(private readonly options: AccountAggregationOptions) {
        this.ownHash = hashFast(options.ownId);
        this.sequence = options.clock.nowDate().getTime();
    }

    /** Id of the aggregator chosen for this router's data centre; undefined before the first report. */
    public get aggregator(): string | undefined {
        return this.aggregatorId;
    }

    /** Creates the messages of this period. */
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
        return this.createTotals(own, nowMs);
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

    /** Totals of the other routers; undefined if none were received within the time-to-live. */
    public findOtherRouters(): OtherRouters | undefined {
        const isFresh = this.appliedAtMs + totalsTtlMs >= this.options.clock.nowMs();
        return isFresh ? this.others : undefined;
    }

    /** Applies totals over the fleet. Drops totals that include a report of an earlier start of this router. */
    private applyFleet(totals: AccountTotals, receivedAtMs: number): void {
        const included = totals.members.find(member => member.routerHash === this.ownHash);
        const ownReport = included === undefined ? emptyTotals : this.ownReports.get(included.sequence);
        if (ownReport === undefined) {
            return;
        }
        const others = removeReport(totals, ownReport);
        this.appliedAtMs = receivedAtMs;
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
            accounts: new Map([...accounts].filter(([, usage]) => usage.asked > 0 || usage.served > 0)),
        };
        this.ownReports.set(this.sequence, report);
        this.ownReports.delete(this.sequence - maxOwnReports);
        return report;
    }

    /** Creates the subtotal for the other aggregators, and the totals for the routers of this data centre. */
    private createTotals(own: AccountTotals, nowMs: number): readonly OutgoingTotalsMessage[] {
        const dataCentre = this.options.getCondition().dataCentre;
        const conditions = this.options.getConditions();
        const subtotal = mergeTotals([{ totals: own, receivedAtMs: nowMs }, ...listFresh(this.reports, nowMs)], nowMs);
        const totals = mergeTotals(
            [{ totals: subtotal, receivedAtMs: nowMs }, ...listFresh(this.subtotals, nowMs)],
            nowMs,
        );
        this.applyFleet(totals, nowMs);
        const members = [...conditions].filter(([, condition]) => condition.dataCentre === dataCentre);
        const otherDataCentres = new Set([...conditions.values()].map(condition => condition.dataCentre));
        otherDataCentres.delete(dataCentre);
        const aggregators = [...otherDataCentres].flatMap(
            other => chooseAggregator(other, listCandidates(conditions, other)) ?? [],
        );
        return [
            ...aggregators.map(routerId => createOutgoing(routerId, "data-centre", subtotal)),
            ...members.map(([routerId]) => createOutgoing(routerId, "fleet", totals)),
        ];
    }

    private updateAggregator(nowMs: number): void {
        const { ownId } = this.options;
        const previousId = this.aggregatorId;
        // Without reports of this router no totals were due, so that none are missing.
        if (nowMs - this.reportedAtMs > inactivityTimeoutMs) {
            this.answeredAtMs = nowMs;
        }
        this.reportedAtMs = nowMs;
        if (previousId !== undefined && previousId !== ownId && nowMs - this.answeredAtMs > inactivityTimeoutMs) {
            this.suspectedUntilMs.set(previousId, nowMs + suspicionMs);
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
        if (this.aggregatorId !== previousId) {
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

function createOutgoing(routerId: string, scope: TotalsMessage["scope"], totals: AccountTotals): OutgoingTotalsMessage {
    return { routerId, message: { scope, totals } };
}
