import type { Clock } from "../../base/clock.js";
import type { ReportedRouter, RouterAccounts } from "../../decisions/shares/accountShares.js";
import type { RouterView } from "../../decisions/limits/coldLimit.js";
import type { PeerLoad } from "../target.js";
import { AccountAggregation, aggregationPeriodMs, type OutgoingTotalsMessage } from "./accountAggregation.js";
import { PeerDirectory } from "./peerDirectory.js";
import type {
    LeavingTarget,
    PartPrefill,
    PeerAddress,
    PeerMessage,
    RouterCondition,
    TargetLoad,
} from "./peerMessage.js";
import type { AccountSource, PeerRound, PeerView } from "./peerView.js";
import type { TotalsMessage } from "./totalsMessage.js";

/** Shortest time between two rounds of messages: about how long an engine takes to read one prompt. */
const leastPeriodMs = 100;
/** Upper bound of the control traffic that a router sends; rounds become rarer as the fleet grows. */
export const maxControlBytesPerSecond = 40_000;
const msPerSecond = 1_000;
/** A read is reported in this many rounds, so that one lost datagram does not hide it. */
const readRounds = 3;
/** Reads in one message; keeps it below the size at which networks fragment datagrams many times over. */
const mostReads = 60;
/** Leaving targets in one message; more leave at a time only where a large fleet is replaced. */
const mostLeaving = 100;
/** Peers named in one message; another few in each round. */
const peersInMessage = 2;
/** Rounds that are at most so long bring accounts' use as early as aggregators would. */
const mostFreshRoundMs = 2 * aggregationPeriodMs;
/** The peers' loads are summed at most this often, as each sum goes over all peers. */
const leastSumPeriodMs = 25;

/** What a {@link PeerState} needs. */
export interface PeerStateOptions {
    readonly own: PeerAddress;
    readonly seedIps: readonly string[];
    readonly clock: Clock;
    /** What this router has under way, and what its accounts demanded and got. */
    readonly listOwnLoads: () => readonly TargetLoad[];
    readonly listOwnAccounts: () => RouterAccounts;
    /** Targets that are leaving, as far as this router knows. */
    readonly listLeaving: () => readonly LeavingTarget[];
    /** How this router stands. */
    readonly getCondition: () => RouterCondition;
    /** The peers' sums changed; by the hash of the target's id. */
    readonly onDidUpdatePeerLoads: (loads: ReadonlyMap<number, PeerLoad>) => void;
    /** A message that is newer than the last one of its sender. */
    readonly onDidReceiveMessage: (message: PeerMessage) => void;
}

/**
 * The state that routers replicate to one another, without a network: builds this router's messages and applies the peers'.
 *
 * Each message holds the sender's whole state, so that a lost or late one needs no repeat. Peers' state only makes decisions
 * better; each decision stays correct, on the careful side, while nothing is received.
 */
export class PeerState implements PeerView {
    private readonly directory: PeerDirectory;
    private readonly aggregation: AccountAggregation;
    private readonly incarnation: number;
    private readonly recentReads: { readonly read: PartPrefill; rounds: number }[] = [];
    private sequence = 0;
    private currentRound: PeerRound = { messageBytes: 0, periodMs: leastPeriodMs };
    private lastSumAtMs = Number.NEGATIVE_INFINITY;

    public constructor(private readonly options: PeerStateOptions) {
        const { own, seedIps, clock } = options;
        this.directory = new PeerDirectory(own, seedIps, clock);
        this.aggregation = new AccountAggregation({
            ownId: own.routerId,
            clock,
            listOwnAccounts: options.listOwnAccounts,
            getCondition: options.getCondition,
            getConditions: () => this.directory.conditions,
        });
        this.incarnation = clock.nowDate().getTime();
    }

    public get routers(): RouterView {
        return this.directory.routers;
    }

    public get accountReports(): readonly ReportedRouter[] {
        const others = this.aggregation.findOtherRouters();
        return others === undefined
            ? this.directory.accountReports
            : [others.totals, ...this.directory.listReportsExcept(others.routerHashes)];
    }

    /** Conditions of the other routers with a recent message, by id. */
    public get conditions(): ReadonlyMap<string, RouterCondition> {
        return this.directory.conditions;
    }

    /** How accounts' use at the other routers is known: by an aggregator's sums, or by each router's reports alone. */
    public get accountSource(): AccountSource {
        const others = this.aggregation.findOtherRouters();
        return {
            aggregator: this.aggregation.aggregator,
            summedRouters: others?.routerHashes.size ?? 0,
            ageMs: others?.totals.ageMs,
        };
    }

    public get round(): PeerRound {
        return this.currentRound;
    }

    /** Addresses of the routers known, and of seeds. */
    public listAddresses(): readonly string[] {
        return this.directory.listAddresses();
    }

    /** Address of a router that this one has received a message of; undefined: none. */
    public findAddress(routerId: string): string | undefined {
        return this.directory.findAddress(routerId);
    }

    /** The router that sends from this address; undefined: unknown. */
    public findRouter(ip: string): string | undefined {
        return this.directory.findRouter(ip);
    }

    public setSeeds(seedIps: readonly string[]): void {
        this.directory.setSeeds(seedIps);
    }

    public recordPrefill(targetHash: number, partId: string, tokens: number): void {
        this.recentReads.push({ read: { targetHash, partId, tokens }, rounds: 0 });
    }

    /** The message of the next round. */
    public createMessage(): PeerMessage {
        return {
            routerId: this.options.own.routerId,
            incarnation: this.incarnation,
            sequence: ++this.sequence,
            ip: this.options.own.ip,
            periodMs: this.currentRound.periodMs,
            targets: this.options.listOwnLoads(),
            ...this.options.listOwnAccounts(),
            reads: this.takeReads(),
            peers: this.takePeers(),
            leaving: this.takeLeaving(),
            condition: this.options.getCondition(),
        };
    }

    /** Takes what the last round sent to each of `addressCount` peers; the time to the next round follows. */
    public recordRound(messageBytes: number, addressCount: number): void {
        const periodMs = Math.max(
            leastPeriodMs,
            (addressCount * messageBytes * msPerSecond) / maxControlBytesPerSecond,
        );
        this.currentRound = { messageBytes, periodMs };
        // Loads that have expired since the last message must not count for ever when no peer sends any more.
        this.updateLoads();
    }

    /** This period's messages about accounts; none while rounds to all peers are as frequent. */
    public createTotalsMessages(): readonly OutgoingTotalsMessage[] {
        return this.currentRound.periodMs > mostFreshRoundMs ? this.aggregation.createMessages() : [];
    }

    public applyTotals(senderId: string, message: TotalsMessage): void {
        this.aggregation.applyMessage(senderId, message);
    }

    public applyMessage(message: PeerMessage): void {
        if (this.directory.apply(message)) {
            this.options.onDidReceiveMessage(message);
            this.updateLoads();
        }
    }

    private updateLoads(): void {
        const nowMs = this.options.clock.nowMs();
        if (nowMs - this.lastSumAtMs >= leastSumPeriodMs) {
            this.lastSumAtMs = nowMs;
            this.options.onDidUpdatePeerLoads(this.directory.computeLoads());
        }
    }

    /** A few of the known peers by turns, so that all are named within some rounds. */
    private takePeers(): readonly PeerAddress[] {
        const known = this.directory.listMembers();
        const start = (this.sequence * peersInMessage) % Math.max(1, known.length);
        return [...known.slice(start), ...known.slice(0, start)].slice(0, peersInMessage);
    }

    /** By turns where there are more than one message holds. */
    private takeLeaving(): readonly LeavingTarget[] {
        const leaving = this.options.listLeaving();
        const start = leaving.length <= mostLeaving ? 0 : (this.sequence * mostLeaving) % leaving.length;
        return [...leaving.slice(start), ...leaving.slice(0, start)].slice(0, mostLeaving);
    }

    private takeReads(): readonly PartPrefill[] {
        const reported = this.recentReads.slice(0, mostReads);
        for (const entry of reported) {
            entry.rounds += 1;
        }
        const left = this.recentReads.filter(entry => entry.rounds < readRounds);
        this.recentReads.splice(0, this.recentReads.length, ...left);
        return reported.map(entry => entry.read);
    }
}
