import type { Clock } from "../../base/clock.js";
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
    message: PeerMessage;
    receivedAtMs: number;
}

/** The newest state received from each peer. */
export class PeerDirectory {
    private readonly peers = new Map<string, Peer>();
    /** Addresses that messages named, and when they last did. */
    private readonly addresses = new Map<string, { readonly ip: string; readonly namedAtMs: number }>();
    private readonly routerByIp = new Map<string, string>();
    private readonly startedAtMs: number;

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
        this.peers.set(message.routerId, { message, receivedAtMs: this.clock.nowMs() });
        const namedAtMs = this.clock.nowMs();
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
        const received = new Set([...this.peers.values()].map(peer => peer.message.ip));
        const unheardSeeds = this.seedIps.filter(ip => ip !== this.own.ip && !received.has(ip));
        const isWaiting = this.clock.nowMs() - this.startedAtMs < settleMs;
        return {
            ownId: this.own.routerId,
            routerIds: [this.own.routerId, ...this.peers.keys()],
            unheard: unheardSeeds.length,
            isSettled: !isWaiting,
        };
    }

    /** Accounts' use at each router whose word is fresh. */
    public get accountUses(): readonly ReportedRouter[] {
        const nowMs = this.clock.nowMs();
        return this.listPeers(message => Math.max(useTtlMs, roundsToLive * message.periodMs)).map(
            ({ message, receivedAtMs }) => ({
                coveredMs: message.coveredMs,
                accounts: message.accounts,
                ageMs: nowMs - receivedAtMs,
            }),
        );
    }

    /** Conditions of routers whose word is fresh, by id. */
    public get conditions(): ReadonlyMap<string, RouterCondition> {
        const fresh = this.listPeers(message => Math.max(useTtlMs, roundsToLive * message.periodMs));
        return new Map(fresh.map(({ message }) => [message.routerId, message.condition]));
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

    /** Peers whose last message is not older than the given time. */
    private listPeers(getTtlMs: (message: PeerMessage) => number): readonly Peer[] {
        const nowMs = this.clock.nowMs();
        return [...this.peers.values()].filter(
            ({ receivedAtMs, message }) => nowMs - receivedAtMs <= getTtlMs(message),
        );
    }

    private removeOld(): void {
        const nowMs = this.clock.nowMs();
        for (const [id, peer] of this.peers) {
            if (nowMs - peer.receivedAtMs > memberTtlMs) {
                this.peers.delete(id);
                this.routerByIp.delete(peer.message.ip);
            }
        }
        // Also those that others named and that never sent a message: thousands of VMs are replaced a day, and messages to those
        // that are gone would take a growing part of the traffic.
        for (const [id, address] of this.addresses) {
            if (nowMs - address.namedAtMs > memberTtlMs) {
                this.addresses.delete(id);
            }
        }
    }
}
