import { CancellationTokenSource } from "../base/cancellation.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Random } from "../base/random.js";
import type { ExchangeReply } from "../control/host.js";
import type { AcceptedDocument } from "../document/schema.js";
import type { EventRing } from "../events/eventRing.js";
import type { Scheduler } from "../fleet/coreRunner.js";
import type { AgentReport } from "../fleet/entities.js";
import type { AgentDirectory } from "./agentDirectory.js";
import type { VersionedClaims } from "./routerService.js";

/** An agent that missed this many exchanges in a row gets no new work from this router. */
const missedExchanges = 2;
/**
 * What the exchanges of one router may take; bytes a second. The users allow 5,000 for all control of a daemon; the rest
 * is for reading the log.
 */
const byteBudget = 4_000;
/** Bytes of the headers of one exchange, both ways, which no client sees; measured by `npm run measure:capacity`. */
const headerBytes = 500;
/** Size assumed before the first exchange. */
const usualExchangeBytes = 1_000;
/** Weight of the newest exchange in the mean size. */
const smoothing = 0.1;
/** Longest time between two exchanges; milliseconds. Past it a daemon's word is too old to be of use. */
const longestPeriodMs = 60_000;
/** Share of the period by which exchanges are spread, so that routers started together do not stay in step. */
const jitter = 0.2;

/** What the exchange needs of the router. */
export interface ExchangeHost {
    createClaims(agentId: string, sinceVersion: number): VersionedClaims;
    handleReport(report: AgentReport): void;
    handleLost(agentId: string): void;
    readonly document: AcceptedDocument | undefined;
    applyDocument(document: AcceptedDocument): void;
}

/** What the exchange is built from. */
export interface ExchangeParts {
    readonly routerId: string;
    readonly incarnation: number;
    /** Time between two exchanges with one agent; milliseconds. */
    readonly periodMs: number;
    readonly directory: AgentDirectory;
    readonly host: ExchangeHost;
    readonly events: EventRing;
    readonly scheduler: Scheduler;
    readonly random: Random;
}

interface Peer {
    missed: number;
    acknowledgedSequence: number | undefined;
    documentOffset: number;
    /** Claims up to this version have arrived there. */
    claimsVersion: number;
    /** Incarnation that answered last; what an earlier one has acknowledged is lost. */
    reporter: number | undefined;
    /** Routers that exchange with the agent. */
    routerCount: number;
    lost: boolean;
    busy: boolean;
    timer: Disposable | undefined;
    readonly incarnation: number;
}

/** Talks with each agent on a period: brings claims and a newer document, takes its report. */
export class Exchange implements Disposable {
    private readonly peers = new Map<string, Peer>();
    private readonly cancellation = new CancellationTokenSource();
    private meanBytes = usualExchangeBytes;

    public constructor(private readonly parts: ExchangeParts) {}

    /** Takes the size of the bodies of one call; under load exchanges carry more counters, and come less often. */
    public observeBytes(bodyBytes: number): void {
        this.meanBytes += smoothing * (bodyBytes + headerBytes - this.meanBytes);
    }

    /** Starts with agents that are new in the directory, and stops with those that left it. */
    public update(): void {
        for (const [agentId, peer] of this.peers) {
            if (this.parts.directory.get(agentId)?.entry.incarnation !== peer.incarnation) {
                peer.timer?.dispose();
                this.peers.delete(agentId);
            }
        }
        for (const agentId of this.parts.directory.list()) {
            if (!this.peers.has(agentId)) {
                this.add(agentId);
            }
        }
    }

    /** Exchanges with an agent at once, unless one is under way. */
    public runNow(agentId: string): void {
        const peer = this.peers.get(agentId);
        if (peer !== undefined && !peer.busy) {
            peer.timer?.dispose();
            void this.run(agentId, peer);
        }
    }

    public dispose(): void {
        this.cancellation.cancel();
        for (const peer of this.peers.values()) {
            peer.timer?.dispose();
        }
        this.peers.clear();
    }

    private add(agentId: string): void {
        const peer: Peer = {
            missed: 0,
            acknowledgedSequence: undefined,
            documentOffset: -1,
            claimsVersion: 0,
            reporter: undefined,
            routerCount: 1,
            lost: false,
            busy: false,
            timer: undefined,
            incarnation: this.parts.directory.get(agentId)?.entry.incarnation ?? 0,
        };
        this.peers.set(agentId, peer);
        void this.run(agentId, peer);
    }

    private async run(agentId: string, peer: Peer): Promise<void> {
        peer.busy = true;
        const client = this.parts.directory.get(agentId)?.client;
        if (client === undefined || this.cancellation.token.isCancelled) {
            return;
        }
        const { document } = this.parts.host;
        const isPeerBehind = document !== undefined && document.offset > peer.documentOffset;
        const { version, claims } = this.parts.host.createClaims(agentId, peer.claimsVersion);
        const reply = await client.sendExchange(
            {
                routerId: this.parts.routerId,
                incarnation: this.parts.incarnation,
                time: this.parts.events.now(),
                documentOffset: document?.offset ?? -1,
                acknowledgedSequence: peer.acknowledgedSequence,
                claims,
                // Not on the first call: the agent's own offset is not known yet, and most agents have the document.
                document: isPeerBehind && peer.acknowledgedSequence !== undefined ? document : undefined,
            },
            this.cancellation.token,
        );
        if (this.peers.get(agentId) !== peer) {
            return;
        }
        reply.match(
            answer => this.handleReply(peer, answer, version),
            () => this.handleSilence(agentId, peer),
        );
        peer.busy = false;
        // The report may have taken the agent out of the directory.
        if (this.peers.get(agentId) !== peer) {
            return;
        }
        this.runLater(agentId, peer, peer.missed > 0 && !peer.lost ? this.parts.periodMs : this.computePeriodMs(peer));
    }

    private runLater(agentId: string, peer: Peer, periodMs: number): void {
        const delayMs = periodMs * (1 + jitter * (this.parts.random.next() - 0.5));
        peer.timer = this.parts.scheduler.run(() => void this.run(agentId, peer), delayMs);
    }

    /**
     * The period grows with the number of agents, and with the number of routers an agent has, so that neither end's
     * traffic does. What is urgent does not wait for it: claims
     * travel with work, reports with answers, and an agent that cannot be reached is asked at once.
     */
    private computePeriodMs(peer: Peer): number {
        const msPerSecond = 1_000;
        const peers = Math.max(this.peers.size, peer.routerCount);
        const periodMs = Math.max(this.parts.periodMs, (peers * this.meanBytes * msPerSecond) / byteBudget);
        return Math.min(periodMs, longestPeriodMs);
    }

    private handleReply(peer: Peer, reply: ExchangeReply, claimsVersion: number): void {
        peer.missed = 0;
        peer.lost = false;
        peer.routerCount = reply.routerCount;
        this.parts.events.merge(reply.time);
        const { incarnation } = reply.report.identity;
        // A restarted agent knows nothing: everything is sent anew from the next exchange on.
        const isSame = peer.reporter === undefined || peer.reporter === incarnation;
        peer.reporter = incarnation;
        peer.claimsVersion = isSame ? claimsVersion : 0;
        peer.acknowledgedSequence = reply.report.sequence;
        peer.documentOffset = reply.report.documentOffset;
        if (reply.document !== undefined) {
            this.parts.host.applyDocument(reply.document);
        }
        this.parts.host.handleReport(reply.report);
    }

    private handleSilence(agentId: string, peer: Peer): void {
        peer.missed++;
        if (!peer.lost && peer.missed >= missedExchanges) {
            peer.lost = true;
            this.parts.host.handleLost(agentId);
        }
    }
}
