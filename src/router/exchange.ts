import { CancellationTokenSource } from "../base/cancellation.js";
import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Random } from "../base/random.js";
import type { ExchangeReply } from "../control/host.js";
import type { AcceptedDocument } from "../document/schema.js";
import type { Scheduler } from "../fleet/coreRunner.js";
import type { AgentReport } from "../fleet/entities.js";
import type { AgentDirectory } from "./agentDirectory.js";
import type { VersionedClaims } from "./routerService.js";

/** An agent that has not answered for this long gets no new work and loses what can be known not to run there. */
const agentLeaseMs = 3_000;
/** Share of the period by which exchanges are spread, so that routers started together do not stay in step. */
const jitter = 0.2;

/** What the exchange needs of the router. */
export interface ExchangeHost {
    createClaims(agentId: string, sinceVersion: number): VersionedClaims;
    handleReport(report: AgentReport): void;
    handleLost(agentId: string): void;
    readonly document: AcceptedDocument | undefined;
    acceptDocument(document: AcceptedDocument): void;
}

interface Peer {
    lastAnswerAtMs: number;
    acknowledgedSequence: number | undefined;
    documentOffset: number;
    /** Claims up to this version have arrived there. */
    claimsVersion: number;
    /** Incarnation that answered last; what an earlier one has acknowledged is lost. */
    reporter: number | undefined;
    lost: boolean;
    timer: Disposable | undefined;
    readonly incarnation: number;
}

/** Talks with each agent on a period: brings claims and a newer document, takes its report. */
export class Exchange implements Disposable {
    private readonly peers = new Map<string, Peer>();
    private readonly cancellation = new CancellationTokenSource();

    public constructor(
        private readonly routerId: string,
        private readonly incarnation: number,
        private readonly periodMs: number,
        private readonly directory: AgentDirectory,
        private readonly host: ExchangeHost,
        private readonly clock: Clock,
        private readonly scheduler: Scheduler,
        private readonly random: Random,
    ) {}

    /** Starts with agents that are new in the directory, and stops with those that left it. */
    public update(): void {
        for (const [agentId, peer] of this.peers) {
            if (this.directory.get(agentId)?.entry.incarnation !== peer.incarnation) {
                peer.timer?.dispose();
                this.peers.delete(agentId);
            }
        }
        for (const agentId of this.directory.list()) {
            if (!this.peers.has(agentId)) {
                this.add(agentId);
            }
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
            lastAnswerAtMs: this.clock.nowMs(),
            acknowledgedSequence: undefined,
            documentOffset: -1,
            claimsVersion: 0,
            reporter: undefined,
            lost: false,
            timer: undefined,
            incarnation: this.directory.get(agentId)?.entry.incarnation ?? 0,
        };
        this.peers.set(agentId, peer);
        void this.run(agentId, peer);
    }

    private async run(agentId: string, peer: Peer): Promise<void> {
        const client = this.directory.get(agentId)?.client;
        if (client === undefined || this.cancellation.token.isCancelled) {
            return;
        }
        const { document } = this.host;
        const isPeerBehind = document !== undefined && document.offset > peer.documentOffset;
        const { version, claims } = this.host.createClaims(agentId, peer.claimsVersion);
        const reply = await client.sendExchange(
            {
                routerId: this.routerId,
                incarnation: this.incarnation,
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
        const delayMs = this.periodMs * (1 + jitter * (this.random.next() - 0.5));
        peer.timer = this.scheduler.run(() => void this.run(agentId, peer), delayMs);
    }

    private handleReply(peer: Peer, reply: ExchangeReply, claimsVersion: number): void {
        peer.lastAnswerAtMs = this.clock.nowMs();
        peer.lost = false;
        const { incarnation } = reply.report.identity;
        // A restarted agent knows nothing: everything is sent anew from the next exchange on.
        const isSame = peer.reporter === undefined || peer.reporter === incarnation;
        peer.reporter = incarnation;
        peer.claimsVersion = isSame ? claimsVersion : 0;
        peer.acknowledgedSequence = reply.report.sequence;
        peer.documentOffset = reply.report.documentOffset;
        if (reply.document !== undefined) {
            this.host.acceptDocument(reply.document);
        }
        this.host.handleReport(reply.report);
    }

    private handleSilence(agentId: string, peer: Peer): void {
        if (!peer.lost && this.clock.nowMs() - peer.lastAnswerAtMs > agentLeaseMs) {
            peer.lost = true;
            this.host.handleLost(agentId);
        }
    }
}
