import { createServer, type Server, type Socket } from "node:net";
import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Random } from "../base/random.js";
import { ConnectionHandOver, type Neighbour } from "../decisions/admission/connectionHandOver.js";
import { acceptByte, ConnectionRelay } from "./connectionRelay.js";
import type { LoadSource } from "./loadMonitor.js";
import type { GatewaySettings } from "./settings.js";
import type { RouterCondition } from "./peers/peerMessage.js";

/** Reported state and addresses of the routers that connections are shared with. */
export interface SharingPeers {
    readonly conditions: ReadonlyMap<string, RouterCondition>;
    findAddress(routerId: string): string | undefined;
    findRouter(ip: string): string | undefined;
}

/** Options of a {@link ConnectionSharing}. */
export interface ConnectionSharingOptions {
    /** Whether connections are handed over and accepted from neighbours. */
    readonly isEnabled: boolean;
    readonly ip: string;
    readonly port: number;
    readonly dataCentre: string;
    /** Maximum number of connections forwarded at a time; each uses two descriptors. */
    readonly maxRelayedConnections: number;
    readonly peers: SharingPeers;
    readonly load: Pick<LoadSource, "loop">;
    readonly getConfigurationVersion: () => number | undefined;
    readonly clock: Clock;
    readonly random: Random;
}

/** Maximum forwarded connections as a fraction of the descriptor limit; each connection uses two descriptors. */
const maxRelayedDescriptorShare = 0.1;

/** Builds the options from a router's settings. */
export function createSharingOptions(
    { ip, peerPorts, dataCentre, limits, handsOverConnections }: GatewaySettings,
    parts: Pick<ConnectionSharingOptions, "peers" | "load" | "clock" | "random" | "getConfigurationVersion">,
): ConnectionSharingOptions {
    const maxRelayedConnections = Math.floor(limits.maxDescriptors * maxRelayedDescriptorShare);
    return {
        ip,
        port: peerPorts[1],
        dataCentre,
        maxRelayedConnections,
        isEnabled: handsOverConnections,
        ...parts,
    };
}

/** Counts of shared connections since the start of the process. */
export interface SharedConnectionCounts {
    readonly handedOver: number;
    readonly received: number;
    /** Connections served by this router because the neighbour did not accept them. */
    readonly unreached: number;
}

/** Hands new connections over to neighbours while this router is short of processor time, and accepts connections from them. */
export class ConnectionSharing implements Disposable {
    private readonly choice = new ConnectionHandOver();
    private readonly relay: ConnectionRelay;
    private readonly server: Server;
    /** Connections that a neighbour handed over, with the neighbour's id; they are served here and not forwarded again. */
    private readonly received = new WeakMap<Socket, string>();
    /** Connections that a neighbour did not accept; they are served here. */
    private readonly declined = new WeakSet<Socket>();
    private readonly counts = { handedOver: 0, received: 0, unreached: 0 };
    private isAccepting = true;
    private isOffering = true;

    /** `serve`: serves a connection as if its caller had connected to this router directly. */
    public constructor(
        private readonly options: ConnectionSharingOptions,
        private readonly serve: (socket: Socket) => void,
    ) {
        this.relay = new ConnectionRelay(options.ip, options.port);
        this.server = createServer({ allowHalfOpen: true, noDelay: true }, socket => this.receive(socket));
    }

    /** Counts of shared connections since the start of the process. */
    public get shared(): SharedConnectionCounts {
        return this.counts;
    }

    /** Number of forwarded connections whose caller has sent data. */
    public get open(): number {
        return this.relay.open;
    }

    /** Starts accepting connections from neighbours, if sharing is enabled. */
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

    /** Tries to hand the connection over to a neighbour; returns false if this router must serve it. */
    public offer(socket: Socket): boolean {
        const { peers, load, clock, random, maxRelayedConnections, isEnabled } = this.options;
        if (
            !isEnabled ||
            !this.isOffering ||
            this.received.has(socket) ||
            this.declined.has(socket) ||
            this.relay.size >= maxRelayedConnections
        ) {
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
            handleUnreachable: declinedSocket => {
                this.counts.unreached += 1;
                this.declined.add(declinedSocket);
                this.serve(declinedSocket);
            },
        });
        return true;
    }

    /** Id of the neighbour that handed the connection over; undefined if the caller connected to this router directly. */
    public findSender(socket: Socket): string | undefined {
        return this.received.get(socket);
    }

    /** Hands no further connections over; a stopping router could not wait for the end of each. */
    public stopOffering(): void {
        this.isOffering = false;
    }

    /** Stops accepting connections from neighbours; connections that are being forwarded continue if their caller has sent data. */
    public stopAccepting(): void {
        this.isAccepting = false;
        this.server.close();
        this.relay.closeIdle();
    }

    public dispose(): void {
        this.server.close();
        this.relay.dispose();
    }

    private receive(socket: Socket): void {
        const sender = this.options.peers.findRouter(socket.remoteAddress ?? "");
        if (sender === undefined || !this.isAccepting) {
            socket.destroy();
            return;
        }
        this.counts.received += 1;
        this.received.set(socket, sender);
        socket.write(acceptByte);
        this.serve(socket);
    }

    /** Excludes neighbours with an older configuration: they would apply routes and keys that are no longer in force here. */
    private listNeighbours(): readonly Neighbour[] {
        const { peers, dataCentre, getConfigurationVersion } = this.options;
        const minVersion = getConfigurationVersion() ?? Number.POSITIVE_INFINITY;
        return [...peers.conditions]
            .filter(([, condition]) => condition.dataCentre === dataCentre && !condition.isWithdrawn)
            .filter(([, { configurationVersion = Number.NEGATIVE_INFINITY }]) => configurationVersion >= minVersion)
            .map(([routerId, { processorShare, utilization }]) => ({ routerId, processorShare, utilization }));
    }
}
