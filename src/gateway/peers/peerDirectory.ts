import type { Clock } from "../../base/clock.js";
import { hashFast } from "../../base/hash.js";
import type { ReportedRouter } from "../../decisions/shares/accountShares.js";
import type { RouterView } from "../../decisions/limits/coldLimit.js";
import type { PeerLoad } from "../target.js";
import type { PeerAddress, PeerMessage, RouterCondition } from "./peerMessage.js";

/**
 * Reported loads expire after the time in which engines read what usually waits there. Counted in full for longer, loads of
 * several rounds add up, and engines look busy that have nothing to read.
 */
export const loadTtlMs = 600;
/** Reported uses of accounts are over seconds, and estimated up to now; they expire after this long, or so many rounds. */
const useTtlMs = 1_200;
const roundsToLive = 4;
/**
 * A router without a message for this long may be cut off and still at work, so it keeps its share of cold targets. Kept
 * too long, the share of a router that is gone is merely not used.
 */
export const memberTtlMs = 30_000;
/** Rounds of messages pass in this time, so that a router without any message is alone, or cut off. */
const settleMs = 1_500;

interface Peer {
    readonly message: PeerMessage;
    readonly receivedAtMs: number;
    readonly use: PeerReport;
}

/** Peers with a recent report. */
interface FreshPeers {
    readonly untilMs: number;
    readonly uses: readonly PeerReport[];
    readonly conditions: ReadonlyMap<string, RouterCondition>;
}

/** The newest state received from each peer. */
export class PeerDirectory {
    private readonly peers = new Map<string, Peer>();
    /** Addresses that messages named, and when they last did. */
    private readonly addresses = new Map<string, { readonly ip: string; readonly namedAtMs: number }>();
    private readonly routerByIp = new Map<string, string>();
    private readonly startedAtMs: number;
    /** No entry expires before this time. */
    private removeAfterMs = Number.POSITIVE_INFINITY;
    /** Read with each request, and changed by messages; undefined when invalidated. */
    private view: RouterView | undefined;
    private fresh: FreshPeers | undefined;

    /** `seedIps`: addresses of some routers, perhaps of this one. */
    public constructor(
        private readonly own: PeerAddress,
        private seedIps: readonly string[],
        private readonly clock: Clock,
    ) {
        this.startedAtMs = clock.nowMs();
    }

    public setSeeds(seedIps: readonly string[]): void {
        this.seedIps = seedIps;
        this.view = undefined;
    }

    /** Takes a message; false when it is this router's own or older than what is known. */
    public apply(message: PeerMessage): boolean {
        const known = this.peers.get(message.routerId)?.message;
        const isOlder =
            known !== undefined &&
            (message.incarnation < known.incarnation ||
                (message.incarnation === known.incarnation && message.sequence <= known.sequence));
        if (message.routerId === this.own.routerId || isOlder) {
            return false;
        }
        const namedAtMs = this.clock.nowMs();
        this.peers.set(message.routerId, {
            message,
            receivedAtMs: namedAtMs,
            use: new PeerReport(message, namedAtMs, this.clock),
        });
        this.fresh = undefined;
        this.removeAfterMs = Math.min(this.removeAfterMs, namedAtMs + memberTtlMs);
        if (known?.ip !== message.ip) {
            this.view = undefined;
        }
        this.addresses.set(message.routerId, { ip: message.ip, namedAtMs });
        this.routerByIp.set(message.ip, message.routerId);
        for (const { routerId, ip } of message.peers) {
            if (routerId !== this.own.routerId && !this.peers.has(routerId)) {
                this.addresses.set(routerId, { ip, namedAtMs });
            }
        }
        return true;
    }

    /** Where to send messages: all known addresses, and the seeds until they are known. */
    public listAddresses(): readonly string[] {
        this.removeOld();
        return [...new Set([...[...this.addresses.values()].map(address => address.ip), ...this.seedIps])].filter(
            ip => ip !== this.own.ip,
        );
    }

    /** Address of a router that a message was received of. */
    public findAddress(routerId: string): string | undefined {
        return this.peers.get(routerId)?.message.ip;
    }

    /** The router that last sent from this address; an address may be reused by a later router. */
    public findRouter(ip: string): string | undefined {
        return this.routerByIp.get(ip);
    }

    /** Routers with a recent message, for others that don't know them. */
    public listMembers(): readonly PeerAddress[] {
        return [...this.peers.values()].map(({ message }) => ({ routerId: message.routerId, ip: message.ip }));
    }

    public get routers(): RouterView {
        this.removeOld();
        const isSettled = this.clock.nowMs() - this.startedAtMs >= settleMs;
        if (this.view?.isSettled !== isSettled) {
            this.view = this.createView(isSettled);
        }
        return this.view;
    }

    /** Accounts' use at each router with a recent report; the ages are those at the time of reading. */
    public get accountReports(): readonly ReportedRouter[] {
        return this.findFresh().uses;
    }

    /** The same at the routers that are not among those named by the hashes of their ids. */
    public listReportsExcept(routerHashes: ReadonlySet<number>): readonly ReportedRouter[] {
        return this.findFresh().uses.filter(use => !routerHashes.has(use.routerHash));
    }

    /** Conditions of routers with a recent report, by id. */
    public get conditions(): ReadonlyMap<string, RouterCondition> {
        return this.findFresh().conditions;
    }

    /** What all other routers have under way, by the hash of the target's id. */
    public computeLoads(): ReadonlyMap<number, PeerLoad> {
        const sums = new Map<number, PeerLoad>();
        for (const load of this.listPeers(() => loadTtlMs).flatMap(peer => peer.message.targets)) {
            const before = sums.get(load.targetHash);
            sums.set(load.targetHash, {
                waitingTokens: load.waitingTokens + (before?.waitingTokens ?? 0),
                running: load.running + (before?.running ?? 0),
            });
        }
        return sums;
    }

    private createView(isSettled: boolean): RouterView {
        const received = new Set([...this.peers.values()].map(peer => peer.message.ip));
        const unheardSeeds = this.seedIps.filter(ip => ip !== this.own.ip && !received.has(ip));
        return {
            ownId: this.own.routerId,
            routerIds: [this.own.routerId, ...this.peers.keys()],
            unheard: unheardSeeds.length,
            isSettled,
        };
    }

    private findFresh(): FreshPeers {
        if (this.fresh === undefined || this.clock.nowMs() > this.fresh.untilMs) {
            const peers = this.listPeers(computeReportTtlMs);
            this.fresh = {
                untilMs: Math.min(...peers.map(peer => peer.receivedAtMs + computeReportTtlMs(peer.message))),
                uses: peers.map(peer => peer.use),
                conditions: new Map(peers.map(({ message }) => [message.routerId, message.condition])),
            };
        }
        return this.fresh;
    }

    /** Peers whose last message is not older than the given time. */
    private listPeers(getTtlMs: (message: PeerMessage) => number): readonly Peer[] {
        const nowMs = this.clock.nowMs();
        return [...this.peers.values()].filter(
            ({ receivedAtMs, message }) => nowMs - receivedAtMs <= getTtlMs(message),
        );
    }

    /** The address may belong to a later router by now. */
    private removeIp(routerId: string, ip: string): void {
        if (this.routerByIp.get(ip) === routerId) {
            this.routerByIp.delete(ip);
        }
    }

    private removeOld(): void {
        const nowMs = this.clock.nowMs();
        if (nowMs <= this.removeAfterMs) {
            return;
        }
        let oldestMs = Number.POSITIVE_INFINITY;
        for (const [id, peer] of this.peers) {
            if (nowMs - peer.receivedAtMs > memberTtlMs) {
                this.peers.delete(id);
                this.removeIp(id, peer.message.ip);
                this.view = undefined;
                this.fresh = undefined;
            } else {
                oldestMs = Math.min(oldestMs, peer.receivedAtMs);
            }
        }
        // Also those that others named and that never sent a message: thousands of VMs are replaced a day, and messages to those
        // that are gone would take a growing part of the traffic.
        for (const [id, address] of this.addresses) {
            if (nowMs - address.namedAtMs > memberTtlMs) {
                this.addresses.delete(id);
            } else {
                oldestMs = Math.min(oldestMs, address.namedAtMs);
            }
        }
        this.removeAfterMs = oldestMs + memberTtlMs;
    }
}

/** A peer's report on its accounts; its age is that at the time of reading. */
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

function computeReportTtlMs({ periodMs }: PeerMessage): number {
    return Math.max(useTtlMs, roundsToLive * periodMs);
}
