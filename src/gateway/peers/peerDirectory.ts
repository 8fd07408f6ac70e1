import type { Clock } from "../../base/clock.js";
import { hashFast } from "../../base/hash.js";
import type { RelayCandidate } from "../../decisions/peers/relayPlan.js";
import { estimatePeerCount, isSettled, type HeardRouter, type MessageBudget } from "../../decisions/peers/settling.js";
import type { ReportedRouter } from "../../decisions/shares/accountShares.js";
import type { RouterView } from "../../decisions/limits/coldLimit.js";
import type { PeerLoad } from "../target.js";
import { RouterContacts } from "./routerContacts.js";
import type { PeerAddress, PeerMessage, RouterCondition } from "./peerMessage.js";

/**
 * Time-to-live of reported loads; milliseconds. It is the time in which engines prefill what is usually queued there. Counted in
 * full for longer, loads of several rounds add up, and idle engines look busy.
 */
export const loadTtlMs = 600;
/**
 * Minimum time-to-live of reported account usage; milliseconds. Reports cover seconds and are extrapolated to the present. They expire
 * after this time or {@link reportTtlRounds}, whichever is longer.
 */
const minReportTtlMs = 1_200;
const reportTtlRounds = 4;
/**
 * Time without a message after which a router is removed; milliseconds. A router that is only unreachable may still send requests,
 * so it keeps its share of cold targets until then. If it has stopped, the only cost is that its share is not used for that time.
 */
export const memberTtlMs = 30_000;
/** Minimum number of a peer's rounds without a message after which it is removed: in a large fleet, few rounds pass in {@link memberTtlMs}. */
const memberTtlRounds = 8;
/**
 * Time without a message after which peers are removed while most of them are silent; milliseconds. More likely than that most of the fleet
 * has stopped, this router is cut off or was suspended, and the others go on and use their parts.
 */
export const isolatedTtlMs = 120_000;

/** Minimum interval between searches for peers to remove, and between views while this router is starting: both are read for each request. Milliseconds. */
const removalPeriodMs = 200;
const viewPeriodMs = 20;
/** Without bounds, the interval between a peer's messages shows nothing about the size of the fleet. */
const unknownBudget: MessageBudget = { minPeriodMs: Number.POSITIVE_INFINITY, bytesPerSecond: 0 };

interface Peer {
    readonly message: PeerMessage;
    readonly messageBytes: number | undefined;
    readonly receivedAtMs: number;
    readonly report: PeerReport;
}

/** Cached data of the peers with a recent report, valid until `untilMs`. */
interface FreshPeers {
    readonly untilMs: number;
    readonly reports: readonly PeerReport[];
    readonly conditions: ReadonlyMap<string, RouterCondition>;
    readonly ips: ReadonlySet<string>;
}

/** A peer, as far as it matters for relaying messages. */
export interface RelayPeer extends RelayCandidate {
    readonly ip: string;
    /** Whether its last message is recent. */
    readonly isRecent: boolean;
}

/** The newest state received from each peer. */
export class PeerDirectory {
    private readonly peers = new Map<string, Peer>();
    /** Addresses from messages, and when a message last named each. */
    private readonly addresses = new Map<string, { readonly ip: string; readonly namedAtMs: number }>();
    private readonly routerByIp = new Map<string, string>();
    private readonly contacts: RouterContacts;
    private readonly startedAtMs: number;
    /** Earliest time at which an entry may expire. */
    private removeAfterMs = Number.POSITIVE_INFINITY;
    /** Cached since each request reads it; undefined when invalidated by a message. */
    private view: RouterView | undefined;
    private viewedAtMs = Number.NEGATIVE_INFINITY;
    private hasSettled = false;
    private fresh: FreshPeers | undefined;

    /** `seedIps`: addresses of some routers, perhaps of this one. */
    public constructor(
        private readonly own: PeerAddress,
        private seedIps: readonly string[],
        private readonly clock: Clock,
        private readonly budget: MessageBudget = unknownBudget,
    ) {
        this.startedAtMs = clock.nowMs();
        this.contacts = new RouterContacts(own.ip);
    }

    public setSeeds(seedIps: readonly string[]): void {
        this.seedIps = seedIps;
        this.view = undefined;
    }

    /**
     * Applies a message. Returns false, without effect, for this router's own messages and for those not newer than the last one of their
     * sender. `messageBytes`: its encoded size, if it is known.
     */
    public apply(message: PeerMessage, messageBytes?: number): boolean {
        const previous = this.peers.get(message.routerId)?.message;
        const isOlder =
            previous !== undefined &&
            (message.incarnation < previous.incarnation ||
                (message.incarnation === previous.incarnation && message.sequence <= previous.sequence));
        if (message.routerId === this.own.routerId || isOlder) {
            return false;
        }
        const namedAtMs = this.clock.nowMs();
        this.peers.set(message.routerId, {
            message,
            messageBytes,
            receivedAtMs: namedAtMs,
            report: new PeerReport(message, namedAtMs, this.clock),
        });
        this.contacts.recordMessage(message.ip, message.incarnation, namedAtMs);
        this.fresh = undefined;
        this.removeAfterMs = Math.min(this.removeAfterMs, namedAtMs + memberTtlMs);
        if (previous?.ip !== message.ip) {
            this.view = undefined;
        }
        this.addresses.set(message.routerId, { ip: message.ip, namedAtMs });
        this.routerByIp.set(message.ip, message.routerId);
        for (const { routerId, ip } of message.peers) {
            if (routerId !== this.own.routerId && !this.peers.has(routerId)) {
                this.view = this.addresses.get(routerId)?.ip === ip ? this.view : undefined;
                this.addresses.set(routerId, { ip, namedAtMs });
            }
        }
        return true;
    }

    /** Addresses to send messages to: all known ones and the seeds, except this router's own. */
    public listAddresses(): readonly string[] {
        this.removeExpired();
        return [...new Set([...[...this.addresses.values()].map(address => address.ip), ...this.seedIps])].filter(
            ip => ip !== this.own.ip,
        );
    }

    /** Address of a router from which a message was received. */
    public findAddress(routerId: string): string | undefined {
        return this.peers.get(routerId)?.message.ip;
    }

    /** The router that last sent from this address. A later router may reuse an address. */
    public findRouter(ip: string): string | undefined {
        return this.routerByIp.get(ip);
    }

    /** Routers from which a message was received recently, to be named in messages to others. */
    public listMembers(): readonly PeerAddress[] {
        return [...this.peers.values()].map(({ message }) => ({ routerId: message.routerId, ip: message.ip }));
    }

    /** Peers from which a message was received, with the properties that relaying depends on. */
    public listRelayPeers(): readonly RelayPeer[] {
        const nowMs = this.clock.nowMs();
        return [...this.peers.values()].map(({ message, receivedAtMs }) => ({
            routerId: message.routerId,
            ip: message.ip,
            ...message.condition,
            canRelay: message.canRelay,
            isRecent: nowMs - receivedAtMs <= computeReportTtlMs(message),
        }));
    }

    /** Data centre of the router that last sent from this address; undefined if unknown. */
    public findDataCentre(ip: string): string | undefined {
        const routerId = this.routerByIp.get(ip);
        return routerId === undefined ? undefined : this.peers.get(routerId)?.message.condition.dataCentre;
    }

    /** The known routers, and how many of them have sent no message. */
    public get routers(): RouterView {
        this.removeExpired();
        const nowMs = this.clock.nowMs();
        // While this router is starting, each message may change the estimate of the fleet's size.
        const isOutdated = !this.hasSettled && nowMs - this.viewedAtMs >= viewPeriodMs;
        if (isOutdated || this.view === undefined) {
            this.viewedAtMs = nowMs;
            this.view = this.createView();
        }
        return this.view;
    }

    /** Usage of accounts at each router with a recent report. Ages are computed when they are accessed. */
    public get accountReports(): readonly ReportedRouter[] {
        return this.findFresh().reports;
    }

    /** The same without the routers whose ids have these hashes. */
    public listReportsExcept(routerHashes: ReadonlySet<number>): readonly ReportedRouter[] {
        return this.findFresh().reports.filter(report => !routerHashes.has(report.routerHash));
    }

    /** Conditions of routers with a recent report, by id. */
    public get conditions(): ReadonlyMap<string, RouterCondition> {
        return this.findFresh().conditions;
    }

    /**
     * Number of other routers that sent a message within the last `periodMs`, or that a peer names, without a recent message; of seeds as
     * well, if no router sent one. A later router at the same address replaces the former one. Routers that told that they stop don't count.
     */
    public countMissing(periodMs: number): number {
        this.removeExpired();
        const named = [...this.addresses.values()].map(({ ip }) => ip);
        const known = { recentIps: this.findFresh().ips, namedIps: named, seedIps: this.seedIps };
        return this.contacts.countMissing(known, this.clock.nowMs() - periodMs);
    }

    /** Records that a router has told that it stops. */
    public recordEnd(routerId: string): void {
        const message = this.peers.get(routerId)?.message;
        if (message !== undefined) {
            this.contacts.recordEnd(message.ip, message.incarnation);
        }
    }

    /** Sums of the other routers' current loads, by the hash of the target's id. */
    public computeLoads(): ReadonlyMap<number, PeerLoad> {
        const sums = new Map<number, PeerLoad>();
        for (const load of this.listPeers(() => loadTtlMs).flatMap(peer => peer.message.targets)) {
            const sum = sums.get(load.targetHash);
            sums.set(load.targetHash, {
                waitingTokens: load.waitingTokens + (sum?.waitingTokens ?? 0),
                running: load.running + (sum?.running ?? 0),
            });
        }
        return sums;
    }

    private createView(): RouterView {
        const received = new Set([...this.peers.values()].map(peer => peer.message.ip));
        const named = [...this.addresses].filter(([id, { ip }]) => !this.peers.has(id) && ip !== this.own.ip);
        const namedIps = new Set(named.map(([, { ip }]) => ip));
        const missingSeeds = this.seedIps.filter(ip => ip !== this.own.ip && !received.has(ip) && !namedIps.has(ip));
        const knownPeers = this.peers.size + named.length + missingSeeds.length;
        return {
            ownId: this.own.routerId,
            routerIds: [this.own.routerId, ...this.peers.keys()],
            namedIds: named.map(([id]) => id),
            unheard: named.length + missingSeeds.length + this.updateSettled(knownPeers),
            isSettled: this.hasSettled,
        };
    }

    /** Updates whether this router knows enough of the fleet. Returns the estimated number of routers that it has not heard of. */
    private updateSettled(knownPeers: number): number {
        if (this.hasSettled) {
            return 0;
        }
        const heard = [...this.peers.values()].map(({ message, messageBytes }): HeardRouter => {
            return { sequence: message.sequence, periodMs: message.periodMs, messageBytes };
        });
        this.hasSettled = isSettled(this.clock.nowMs() - this.startedAtMs, knownPeers, heard, this.budget);
        return this.hasSettled ? 0 : Math.max(0, estimatePeerCount(heard, this.budget) - knownPeers);
    }

    private findFresh(): FreshPeers {
        if (this.fresh === undefined || this.clock.nowMs() > this.fresh.untilMs) {
            const peers = this.listPeers(computeReportTtlMs);
            this.fresh = {
                untilMs: Math.min(...peers.map(peer => peer.receivedAtMs + computeReportTtlMs(peer.message))),
                reports: peers.map(peer => peer.report),
                conditions: new Map(peers.map(({ message }) => [message.routerId, message.condition])),
                ips: new Set(peers.map(({ message }) => message.ip)),
            };
        }
        return this.fresh;
    }

    /** Peers whose last message is not older than its time-to-live. */
    private listPeers(getTtlMs: (message: PeerMessage) => number): readonly Peer[] {
        const nowMs = this.clock.nowMs();
        return [...this.peers.values()].filter(
            ({ receivedAtMs, message }) => nowMs - receivedAtMs <= getTtlMs(message),
        );
    }

    /** Removes the address unless a later router uses it by now. */
    private removeIp(routerId: string, ip: string): void {
        if (this.routerByIp.get(ip) === routerId) {
            this.routerByIp.delete(ip);
        }
    }

    private removeExpired(): void {
        const nowMs = this.clock.nowMs();
        if (nowMs <= this.removeAfterMs) {
            return;
        }
        const isIsolated = this.listPeers(computeReportTtlMs).length * 2 <= this.peers.size;
        for (const [id, peer] of this.peers) {
            const ttlMs = Math.max(computeMemberTtlMs(peer.message), isIsolated ? isolatedTtlMs : 0);
            if (nowMs - peer.receivedAtMs <= ttlMs) {
                continue;
            }
            this.peers.delete(id);
            this.removeIp(id, peer.message.ip);
            this.view = this.fresh = undefined;
        }
        let oldestMs = Math.min(Number.POSITIVE_INFINITY, ...[...this.peers.values()].map(peer => peer.receivedAtMs));
        // Includes addresses that others named and that never sent a message: thousands of VMs are replaced a day, and messages to
        // removed ones would take a growing part of the traffic.
        for (const [id, address] of this.addresses) {
            if (!this.peers.has(id) && nowMs - address.namedAtMs > memberTtlMs) {
                this.addresses.delete(id);
                this.view = undefined;
            } else {
                oldestMs = Math.min(oldestMs, address.namedAtMs);
            }
        }
        this.removeAfterMs = Math.max(nowMs + removalPeriodMs, oldestMs + memberTtlMs);
        this.contacts.removeExpired(nowMs);
    }
}

/** A peer's report on its accounts. `ageMs` is computed when it is accessed. */
class PeerReport implements ReportedRouter {
    public readonly routerHash: number;

    public constructor(
        private readonly message: PeerMessage,
        private readonly receivedAtMs: number,
        private readonly clock: Clock,
    ) {
        this.routerHash = hashFast(message.routerId);
    }

    public get coveredMs(): number {
        return this.message.coveredMs;
    }

    public get accounts(): PeerMessage["accounts"] {
        return this.message.accounts;
    }

    public get ageMs(): number {
        return this.clock.nowMs() - this.receivedAtMs;
    }
}

function computeMemberTtlMs({ periodMs }: PeerMessage): number {
    return Math.max(memberTtlMs, memberTtlRounds * periodMs);
}

function computeReportTtlMs({ periodMs }: PeerMessage): number {
    return Math.max(minReportTtlMs, reportTtlRounds * periodMs);
}
