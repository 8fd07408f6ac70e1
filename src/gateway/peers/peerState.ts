import type { Clock } from "../../base/clock.js";
import type { ReportedRouter, RouterAccounts } from "../../decisions/shares/accountShares.js";
import type { RouterView } from "../../decisions/limits/coldLimit.js";
import type { PeerLoad } from "../target.js";
import { AccountAggregation, aggregationPeriodMs, type OutgoingTotalsMessage } from "./accountAggregation.js";
import { PeerDirectory, type RelayPeer } from "./peerDirectory.js";
import type {
    LeavingTarget,
    PartPrefill,
    PeerAddress,
    PeerMessage,
    RouterCondition,
    TargetLoad,
} from "./peerMessage.js";
import type { AccountSource, PeerRound, PeerView } from "./peerView.js";
import { PeerTraffic, type TrafficScope } from "./peerTraffic.js";
import type { TotalsMessage } from "./totalsMessage.js";

/** Minimum interval between message rounds; milliseconds. It is about the time that an engine takes to prefill one prompt. */
const minPeriodMs = 100;
/** Maximum rate of control traffic that a router sends. To stay within it, rounds become less frequent as the fleet grows. */
export const maxControlBytesPerSecond = 40_000;
const messageBudget = { minPeriodMs, bytesPerSecond: maxControlBytesPerSecond };
const msPerSecond = 1_000;
/** Number of rounds that report a prefill, so that one lost datagram does not hide it. */
const roundsPerPrefill = 3;
/** Maximum number of prefills in a message. Limits its size, so that networks don't split it into many fragments. */
const maxPrefills = 60;
/** Maximum number of leaving targets in a message. More leave at a time only when a large fleet is replaced. */
const maxLeaving = 100;
/** Maximum number of peers named in a message; each round names different ones. */
const maxPeers = 2;
/** Up to this interval between rounds, peer messages report accounts' usage as early as aggregators would. */
const maxDirectRoundMs = 2 * aggregationPeriodMs;
/** Minimum interval between updates of the peers' summed loads; milliseconds. Each update iterates over all peers. */
const minLoadUpdatePeriodMs = 25;

/** Weight of the last round in the mean number of bytes sent in a round; what is forwarded varies from round to round. */
const sentBytesWeight = 0.1;
/** By how much a relay may exceed its budget before its own rounds become less frequent. Origins choose relays so that it is met on average. */
const relayTolerance = 1.1;
/** By what factor a relay's own rounds become less frequent at most, as its own loads would be too old at the receivers. */
const maxRelayDelay = 1.25;

/** Dependencies of a {@link PeerState}. */
export interface PeerStateOptions {
    readonly own: PeerAddress;
    readonly seedIps: readonly string[];
    readonly clock: Clock;
    /** This router's current load at targets. */
    readonly listOwnLoads: () => readonly TargetLoad[];
    /** Tokens that accounts requested from this router and were served. */
    readonly listOwnAccounts: () => RouterAccounts;
    /** Leaving targets in this router's state. */
    readonly listLeaving: () => readonly LeavingTarget[];
    /** This router's condition. */
    readonly getCondition: () => RouterCondition;
    /** The peers' summed loads changed; by the hash of the target's id. */
    readonly onDidUpdatePeerLoads: (loads: ReadonlyMap<number, PeerLoad>) => void;
    /** A message was received that is newer than the last one of its sender. */
    readonly onDidReceiveMessage: (message: PeerMessage) => void;
}

/**
 * The state that routers replicate to one another. Creates this router's messages and applies those of the peers; the caller sends
 * and receives them.
 *
 * Each message holds the sender's complete state, so that a lost or late one needs no retry. Peers' state only improves decisions:
 * without it, they stay correct but are more conservative.
 */
export class PeerState implements PeerView {
    /** Counts what this router sends; recorded by the caller. */
    public readonly traffic = new PeerTraffic(ip => this.getScope(ip));
    private readonly directory: PeerDirectory;
    private readonly aggregation: AccountAggregation;
    private readonly incarnation: number;
    private readonly recentPrefills: { readonly read: PartPrefill; rounds: number }[] = [];
    private sequence = 0;
    private currentRound: PeerRound = { messageBytes: 0, periodMs: minPeriodMs };
    private meanSentBytes = 0;
    /** Cached since it is read for each datagram, and the other values of the condition take longer to compute. */
    private ownDataCentre: string | undefined;
    private lastLoadUpdateAtMs = Number.NEGATIVE_INFINITY;

    public constructor(private readonly options: PeerStateOptions) {
        const { own, seedIps, clock } = options;
        this.directory = new PeerDirectory(own, seedIps, clock, messageBudget);
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

    public countMissing(periodMs: number): number {
        return this.directory.countMissing(periodMs);
    }

    public recordEnd(routerId: string): void {
        this.directory.recordEnd(routerId);
    }

    /** Source of the accounts' usage at the other routers: an aggregator's totals, or only the reports of each router. */
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

    /** Addresses of known routers and of seeds. */
    public listAddresses(): readonly string[] {
        return this.directory.listAddresses();
    }

    /** Address of a router from which a message was received; undefined without one. */
    public findAddress(routerId: string): string | undefined {
        return this.directory.findAddress(routerId);
    }

    /** Id of the router that last sent from this address; undefined if unknown. */
    public findRouter(ip: string): string | undefined {
        return this.directory.findRouter(ip);
    }

    /** This router's data centre. */
    public get dataCentre(): string {
        this.ownDataCentre ??= this.options.getCondition().dataCentre;
        return this.ownDataCentre;
    }

    /** Peers from which a message was received, with the properties that relaying depends on. */
    public listRelayPeers(): readonly RelayPeer[] {
        return this.directory.listRelayPeers();
    }

    public setSeeds(seedIps: readonly string[]): void {
        this.directory.setSeeds(seedIps);
    }

    /** Adds a prefill to this router's next messages. */
    public recordPrefill(targetHash: number, partId: string, tokens: number): void {
        this.recentPrefills.push({ read: { targetHash, partId, tokens }, rounds: 0 });
    }

    /** Creates the message of the next round. */
    public createMessage(): PeerMessage {
        return {
            routerId: this.options.own.routerId,
            incarnation: this.incarnation,
            sequence: ++this.sequence,
            ip: this.options.own.ip,
            periodMs: this.currentRound.periodMs,
            targets: this.options.listOwnLoads(),
            ...this.options.listOwnAccounts(),
            reads: this.takePrefills(),
            peers: this.takePeers(),
            leaving: this.takeLeaving(),
            condition: this.options.getCondition(),
            canRelay: true,
        };
    }

    /**
     * Records the message size and the number of recipients of the last round, and sets the interval to the next one accordingly.
     * Recipients count whether they are sent to directly or by a relay, as relaying only moves the bytes to another router.
     *
     * `sentBytes`: what this router sent since the round before, with the messages that it forwarded.
     */
    public recordRound(messageBytes: number, addressCount: number, sentBytes = 0): void {
        const usualMs = Math.max(minPeriodMs, computeMsWithinBudget(addressCount * messageBytes));
        this.meanSentBytes += (sentBytes - this.meanSentBytes) * sentBytesWeight;
        const periodMs = Math.max(
            usualMs,
            Math.min(usualMs * maxRelayDelay, computeMsWithinBudget(this.meanSentBytes / relayTolerance)),
        );
        this.currentRound = { messageBytes, periodMs };
        // Without this, loads that have expired since the last message would be counted forever if no peer sends again.
        this.updateLoads();
    }

    /** Creates this period's messages to or from an aggregator; none while rounds to all peers are about as frequent. */
    public createTotalsMessages(): readonly OutgoingTotalsMessage[] {
        return this.currentRound.periodMs > maxDirectRoundMs ? this.aggregation.createMessages() : [];
    }

    public applyTotals(senderId: string, message: TotalsMessage): void {
        this.aggregation.applyMessage(senderId, message);
    }

    /**
     * Applies a message. Returns false, without effect, if it is not newer than the last one of its sender. `messageBytes`: its encoded size,
     * if it is known.
     */
    public applyMessage(message: PeerMessage, messageBytes?: number): boolean {
        if (!this.directory.apply(message, messageBytes)) {
            return false;
        }
        this.options.onDidReceiveMessage(message);
        this.updateLoads();
        return true;
    }

    private getScope(ip: string): TrafficScope {
        const dataCentre = this.directory.findDataCentre(ip);
        if (dataCentre === undefined) {
            return "unknown";
        }
        return dataCentre === this.dataCentre ? "own" : "other";
    }

    private updateLoads(): void {
        const nowMs = this.options.clock.nowMs();
        if (nowMs - this.lastLoadUpdateAtMs >= minLoadUpdatePeriodMs) {
            this.lastLoadUpdateAtMs = nowMs;
            this.options.onDidUpdatePeerLoads(this.directory.computeLoads());
        }
    }

    /** Some of the known peers, in rotation, so that a few rounds name all of them. */
    private takePeers(): readonly PeerAddress[] {
        const known = this.directory.listMembers();
        const start = (this.sequence * maxPeers) % Math.max(1, known.length);
        return [...known.slice(start), ...known.slice(0, start)].slice(0, maxPeers);
    }

    /** Leaving targets, in rotation if there are more than fit into one message. */
    private takeLeaving(): readonly LeavingTarget[] {
        const leaving = this.options.listLeaving();
        const start = leaving.length <= maxLeaving ? 0 : (this.sequence * maxLeaving) % leaving.length;
        return [...leaving.slice(start), ...leaving.slice(0, start)].slice(0, maxLeaving);
    }

    private takePrefills(): readonly PartPrefill[] {
        const reported = this.recentPrefills.slice(0, maxPrefills);
        for (const entry of reported) {
            entry.rounds += 1;
        }
        const remaining = this.recentPrefills.filter(entry => entry.rounds < roundsPerPrefill);
        this.recentPrefills.splice(0, this.recentPrefills.length, ...remaining);
        return reported.map(entry => entry.read);
    }
}

function computeMsWithinBudget(bytes: number): number {
    return (bytes * msPerSecond) / maxControlBytesPerSecond;
}
