import { Gauge, type Registry } from "prom-client";
import type { PeerTrafficCounts } from "./peerTraffic.js";

/** Values of the metrics on messages between routers. */
export interface PeerStatistics {
    readonly peerTraffic: PeerTrafficCounts;
}

/** Adds the metrics on messages between routers to the registry. */
export function addPeerMetrics(registry: Registry, getStatistics: () => PeerStatistics): void {
    const registers = [registry];
    new Gauge({
        name: "lynxarch_peer_sent_bytes",
        help: "Bytes sent to other routers since the start: to the own data centre, another one, or an address without a message so far.",
        labelNames: ["scope"],
        registers,
        collect(): void {
            for (const [scope, bytes] of Object.entries(getStatistics().peerTraffic.bytes)) {
                this.set({ scope }, bytes);
            }
        },
    });
    new Gauge({
        name: "lynxarch_relayed_messages",
        help: "Messages since the start: this router's own that were sent to a relay, and other routers' that it forwarded.",
        labelNames: ["role"],
        registers,
        collect(): void {
            const { sentToRelays, forwarded } = getStatistics().peerTraffic;
            this.set({ role: "origin" }, sentToRelays);
            this.set({ role: "relay" }, forwarded);
        },
    });
}
