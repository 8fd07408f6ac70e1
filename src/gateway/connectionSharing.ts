import { createServer, type Server, type Socket } from "node:net";
import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Random } from "../base/random.js";
import { ConnectionHandOver, type Neighbour } from "../decisions/admission/connectionHandOver.js";
import { acceptByte, ConnectionRelay } from "./connectionRelay.js";
import type { LoadSource } from "./loadMonitor.js";
import type { GatewaySettings } from "./settings.js";
import type { RouterCondition } from "./peers/peerMessage.js";

/** What a router knows of the others that it shares connections with. */
export interface SharingPeers {
    readonly conditions: ReadonlyMap<string, RouterCondition>;
    findAddress(routerId: string): string | undefined;
    findRouter(ip: string): string | undefined;
}

/** What a {@link ConnectionSharing} needs. */
export interface ConnectionSharingOptions {
    /** Otherwise connections are neither handed over nor taken. */
    readonly isEnabled: boolean;
    readonly ip: string;
    readonly port: number;
    readonly dataCentre: string;
    /** Connections that may be passed on at a time; each takes two descriptors. */
    readonly maxRelayedConnections: number;
    readonly peers: SharingPeers;
    readonly load: Pick<LoadSource, "loop">;
    readonly getConfigurationVersion: () => number | undefined;
    readonly clock: Clock;
    readonly random: Random;
}

/** Part of the descriptors that connections may take that are passed on; each takes two. */
const relayedDescriptorShare = 0.1;

/** The options of a router with these settings. */
export function createSharingOptions(
    { ip, peerPorts, dataCentre, limits, handsOverConnections }: GatewaySettings,
    parts: Pick<ConnectionSharingOptions, "peers" | "load" | "clock" | "random" | "getConfigurationVersion">,
): ConnectionSharingOptions {
    const mostRelayed = Math.floor(limits.maxDescriptors * relayedDescriptorShare);
    return {
        ip,
        port: peerPorts[1],
        dataCentre,
        maxRelayedConnections: mostRelayed,
        isEnabled: handsOverConnections,
        ...parts,
    };
}

/** Connections that were shared since the start. */
export interface SharedConnectionCounts {
    readonly handedOver: number;
    readonly received: number;
    /** The neighbour could not be reached, so that this router served them. */
    readonly unreached: number;
}

/** Hands new connections to neighbours while this router is short of processor time, and takes theirs. */
export class ConnectionSharing implements Disposable {
    private readonly choice = new ConnectionHandOver();
    private readonly relay: ConnectionRelay;
    private readonly server: Server;
    /** Connections that a neighbour handed over, with its id; they are served here and never handed on. */
    private readonly received = new WeakMap<Socket, string>();
    /** Connections whose neighbour could not be reached. */
    private readonly kept = new WeakSet<Socket>();
    private readonly counts = { handedOver: 0, received: 0, unreached: 0 };
    private takesConnections = true;

    /** `serve`: takes a connection as if its caller had reached this router. */
    public constructor(
        private readonly options: ConnectionSharingOptions,
        private readonly serve: (socket: Socket) => void,
    ) {
        this.relay = new ConnectionRelay(options.ip, options.port);
        this.server = createServer({ allowHalfOpen: true, noDelay: true }, socket => this.receive(socket));
    }

    public get shared(): SharedConnectionCounts {
        return this.counts;
    }

    /** Connections that neighbours have. */
    public get open(): number {
        return this.relay.open;
    }

    public listen(): Promise<void> {
        const { ip, port, isEnabled } = this.options;
        if (!isEnabled) {
            return Promise.resolve();
        }
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen({ host: ip, port }, () => resolve());
        });
    }

    /** Hands the connection to a neighbour; false: this router is to serve it. */
    public offer(socket: Socket): boolean {
        const { peers, load, clock, random, maxRelayedConnections: mostRelayed, isEnabled } = this.options;
        if (!isEnabled || this.received.has(socket) || this.kept.has(socket) || this.relay.size >= mostRelayed) {
            return false;
        }
        const { utilization } = load.loop;
        const routerId = this.choice.choose(utilization, this.listNeighbours(), random, clock.nowMs());
        const ip = routerId === undefined ? undefined : peers.findAddress(routerId);
        if (ip === undefined) {
            return false;
        }
        this.relay.add(socket, ip, {
            handleHandedOver: () => (this.counts.handedOver += 1),
            handleUnreachable: unreached => {
                this.counts.unreached += 1;
                this.kept.add(unreached);
                this.serve(unreached);
            },
        });
        return true;
    }

    /** The neighbour that handed the connection over; undefined: its caller reached this router. */
    public findSender(socket: Socket): string | undefined {
        return this.received.get(socket);
    }

    /** Takes no more connections of neighbours; those that are being passed on go on. */
    public stopAccepting(): void {
        this.takesConnections = false;
        this.server.close();
    }

    public dispose(): void {
        this.server.close();
        this.relay.dispose();
    }

    private receive(socket: Socket): void {
        const sender = this.options.peers.findRouter(socket.remoteAddress ?? "");
        if (sender === undefined || !this.takesConnections) {
            socket.destroy();
            return;
        }
        this.counts.received += 1;
        this.received.set(socket, sender);
        socket.write(acceptByte);
        this.serve(socket);
    }

    /** Not those behind this router's configuration: a caller would get from them what is no longer in force here. */
    private listNeighbours(): readonly Neighbour[] {
        const { peers, dataCentre, getConfigurationVersion } = this.options;
        const leastVersion = getConfigurationVersion() ?? Number.POSITIVE_INFINITY;
        return [...peers.conditions]
            .filter(([, condition]) => condition.dataCentre === dataCentre && !condition.isWithdrawn)
            .filter(([, { configurationVersion = Number.NEGATIVE_INFINITY }]) => configurationVersion >= leastVersion)
            .map(([routerId, { processorShare, utilization }]) => ({ routerId, processorShare, utilization }));
    }
}
