import { createSocket, type Socket } from "node:dgram";
import type { Clock } from "../../base/clock.js";
import { DisposableStore, type Disposable } from "../../base/lifecycle.js";
import type { Logger } from "../../base/log.js";
import type { HeardRouter, RouterAccounts } from "../../decisions/shares/accountShares.js";
import type { RouterView } from "../../decisions/limits/coldLimit.js";
import type { PeerLoad } from "../target.js";
import { PeerDirectory } from "./peerDirectory.js";
import {
    decodePeerMessage,
    encodePeerMessage,
    type PartRead,
    type PeerAddress,
    type PeerMessage,
    type TargetLoad,
} from "./peerMessage.js";
import type { PeerRound, PeerView } from "./peerView.js";

/** Shortest time between two rounds of messages: about how long an engine takes over one prompt, whose queue is told. */
const leastPeriodMs = 100;
/** Control traffic that a router sends at most; the rounds become rarer as the fleet grows. */
const bytesPerSecond = 40_000;
const msPerSecond = 1_000;
/** A read is told in this many rounds, so that one lost datagram does not hide it. */
const readRounds = 3;
/** Reads in one message; it stays below the size at which datagrams are cut up on usual networks many times over. */
const mostReads = 60;
/** Peers named in one message, another few each time: 16 of them took 571 of 1,601 bytes. */
const peersInMessage = 2;
/** The others' loads are summed at most this often: many peers' messages come in one stretch, and each sum goes over all. */
const leastSumPeriodMs = 25;
/** A log line for datagrams that can't be read is written at most this often; milliseconds. */
const faultLogPeriodMs = 10_000;

/** What a {@link PeerExchange} needs. */
export interface PeerExchangeOptions {
    readonly routerId: string;
    readonly ip: string;
    readonly port: number;
    readonly seedIps: readonly string[];
    readonly clock: Clock;
    readonly logger: Logger;
    /** What this router has under way, and what its accounts asked and got. */
    readonly listOwnLoads: () => readonly TargetLoad[];
    readonly listOwnAccounts: () => RouterAccounts;
    /** The others' sums changed; by the hash of the target's id. */
    readonly onDidSumLoads: (loads: ReadonlyMap<number, PeerLoad>) => void;
    /** A message that is newer than what was known of its sender. */
    readonly onDidHear: (message: PeerMessage) => void;
}

/**
 * Tells the other routers what this one has under way, and hears the same from them.
 *
 * Datagrams and not calls: each message holds the sender's whole state, so that a lost or late one needs no repeat, and a
 * peer that is gone costs nothing but the send. What is known of peers only makes decisions better; each stays right, on
 * the careful side, while nothing is heard.
 */
export class PeerExchange implements PeerView, Disposable {
    private readonly store = new DisposableStore();
    private readonly directory: PeerDirectory;
    private readonly incarnation: number;
    private readonly recentReads: { readonly read: PartRead; rounds: number }[] = [];
    private sequence = 0;
    private currentRound: PeerRound = { messageBytes: 0, periodMs: leastPeriodMs };
    private lastSumAtMs = Number.NEGATIVE_INFINITY;
    private timer: NodeJS.Timeout | undefined;
    private socket: Socket | undefined;
    private lastFaultLogAtMs = Number.NEGATIVE_INFINITY;

    public constructor(private readonly options: PeerExchangeOptions) {
        const { routerId, ip, seedIps, clock } = options;
        this.directory = new PeerDirectory({ routerId, ip }, seedIps, clock);
        this.incarnation = clock.nowDate().getTime();
    }

    public get routers(): RouterView {
        return this.directory.routers;
    }

    public get accountUses(): readonly HeardRouter[] {
        return this.directory.accountUses;
    }

    public get round(): PeerRound {
        return this.currentRound;
    }

    /** Addresses of the routers heard of, and of seeds. */
    public listAddresses(): readonly string[] {
        return this.directory.listAddresses();
    }

    public setSeeds(seedIps: readonly string[]): void {
        this.directory.setSeeds(seedIps);
    }

    public recordRead(targetHash: number, partId: string, tokens: number): void {
        this.recentReads.push({ read: { targetHash, partId, tokens }, rounds: 0 });
    }

    /** Begins to listen and to send. Errors: the port can't be had. */
    public start(): Promise<void> {
        const { ip, port, logger } = this.options;
        const socket = createSocket("udp4");
        this.socket = socket;
        this.store.add({ dispose: () => socket.close() });
        socket.on("message", data => this.handleMessage(data));
        return new Promise((resolve, reject) => {
            socket.once("error", reject);
            socket.bind(port, ip, () => {
                socket.off("error", reject);
                socket.on("error", error =>
                    logger.write("warn", "the peers' socket failed", { detail: error.message }),
                );
                this.sendRound();
                resolve();
            });
        });
    }

    public dispose(): void {
        clearTimeout(this.timer);
        this.store.dispose();
    }

    private handleMessage(data: Buffer): void {
        const { clock, logger } = this.options;
        decodePeerMessage(data).match(
            message => {
                if (this.directory.apply(message)) {
                    this.options.onDidHear(message);
                    this.updateLoads();
                }
            },
            error => {
                if (clock.nowMs() - this.lastFaultLogAtMs > faultLogPeriodMs) {
                    this.lastFaultLogAtMs = clock.nowMs();
                    logger.write("warn", "a message between routers is left aside", { detail: error.message });
                }
            },
        );
    }

    private sendRound(): void {
        const data = encodePeerMessage({
            routerId: this.options.routerId,
            incarnation: this.incarnation,
            sequence: ++this.sequence,
            ip: this.options.ip,
            periodMs: this.currentRound.periodMs,
            targets: this.options.listOwnLoads(),
            ...this.options.listOwnAccounts(),
            reads: this.takeReads(),
            peers: this.takePeers(),
        });
        const addresses = this.directory.listAddresses();
        for (const ip of addresses) {
            // A peer that is gone answers with an error or not at all; the directory's times tell what that means.
            this.socket?.send(data, this.options.port, ip, () => undefined);
        }
        // Words that have become old since the last message must not count as load for ever when nobody speaks any more.
        this.updateLoads();
        const periodMs = Math.max(leastPeriodMs, (addresses.length * data.length * msPerSecond) / bytesPerSecond);
        this.currentRound = { messageBytes: data.length, periodMs };
        this.timer = setTimeout(() => this.sendRound(), periodMs);
    }

    private updateLoads(): void {
        const nowMs = this.options.clock.nowMs();
        if (nowMs - this.lastSumAtMs >= leastSumPeriodMs) {
            this.lastSumAtMs = nowMs;
            this.options.onDidSumLoads(this.directory.computeLoads());
        }
    }

    /** A few of the known peers by turns, so that all are named within some rounds. */
    private takePeers(): readonly PeerAddress[] {
        const known = this.directory.listKnown();
        const start = (this.sequence * peersInMessage) % Math.max(1, known.length);
        return [...known.slice(start), ...known.slice(0, start)].slice(0, peersInMessage);
    }

    private takeReads(): readonly PartRead[] {
        const told = this.recentReads.slice(0, mostReads);
        for (const entry of told) {
            entry.rounds += 1;
        }
        const left = this.recentReads.filter(entry => entry.rounds < readRounds);
        this.recentReads.splice(0, this.recentReads.length, ...left);
        return told.map(entry => entry.read);
    }
}
