import { Gauge, type Registry } from "prom-client";
import type { ClientConnectionStatistics } from "../../http/clientConnectionGuard.js";
import type { UnsentStatistics } from "../unsentBytes.js";
import type { WithdrawalStatistics } from "./balancerPresence.js";
import type { EarlyRefusalCounts } from "./earlyRefusal.js";

/** Values of the metrics on callers' connections and responses. */
export interface CallerStatistics {
    readonly refusedEarly: EarlyRefusalCounts;
    readonly withdrawal: WithdrawalStatistics;
    readonly unsent: UnsentStatistics;
    /** Idle connections closed since the start to make room for others. */
    readonly closedIdleConnections: number;
    readonly clientConnections: ClientConnectionStatistics;
}

/** Adds the metrics on refused requests and slow readers to the registry. */
export function addCallerMetrics(registry: Registry, getStatistics: () => CallerStatistics): void {
    const registers = [registry];
    new Gauge({
        name: "lynxarch_early_refusals",
        help: "Requests refused by their heads alone since the start: returned for a retry at another router, or shed.",
        labelNames: ["outcome"],
        registers,
        collect(): void {
            const { returned, shed } = getStatistics().refusedEarly;
            this.set({ outcome: "returned" }, returned);
            this.set({ outcome: "shed" }, shed);
        },
    });
    addWithdrawalMetrics(registers, getStatistics);
    new Gauge({
        name: "lynxarch_closed_idle_connections",
        help: "Callers' idle connections closed since the start to make room for others.",
        registers,
        collect(): void {
            this.set(getStatistics().closedIdleConnections);
        },
    });
    addConnectionMetrics(registers, getStatistics);
    new Gauge({
        name: "lynxarch_unsent_bytes",
        help: "Bytes held for callers and targets that read slowly.",
        registers,
        collect(): void {
            this.set(getStatistics().unsent.bytes);
        },
    });
    new Gauge({
        name: "lynxarch_unsent_bytes_peak",
        help: "Largest number of such bytes since the start.",
        registers,
        collect(): void {
            this.set(getStatistics().unsent.peakBytes);
        },
    });
    new Gauge({
        name: "lynxarch_slow_streams_ended",
        help: "Streams ended since the start because their readers were too slow, by the bound that was exceeded.",
        labelNames: ["bound"],
        registers,
        collect(): void {
            for (const [bound, count] of Object.entries(getStatistics().unsent.ended)) {
                this.set({ bound }, count);
            }
        },
    });
}

function addWithdrawalMetrics(registers: Registry[], getStatistics: () => CallerStatistics): void {
    new Gauge({
        name: "lynxarch_withdrawn",
        help: "1 while the router asks the balancer for no new connections, by reason.",
        labelNames: ["reason"],
        registers,
        collect(): void {
            const { reason: current, counts } = getStatistics().withdrawal;
            for (const reason of Object.keys(counts)) {
                this.set({ reason }, reason === current ? 1 : 0);
            }
        },
    });
    new Gauge({
        name: "lynxarch_even_share",
        help: "Utilization of the router by an even share of its data centre's work; 0 without yieldsToLargerRouters.",
        registers,
        collect(): void {
            this.set(getStatistics().withdrawal.evenShare);
        },
    });
    new Gauge({
        name: "lynxarch_withdrawals",
        help: "Withdrawals from the balancer since the start, by reason.",
        labelNames: ["reason"],
        registers,
        collect(): void {
            for (const [reason, count] of Object.entries(getStatistics().withdrawal.counts)) {
                this.set({ reason }, count);
            }
        },
    });
}

function addConnectionMetrics(registers: Registry[], getStatistics: () => CallerStatistics): void {
    new Gauge({
        name: "lynxarch_held_input_bytes",
        help: "Estimated memory of input that clients have sent ahead of responses, and of incomplete heads of requests.",
        registers,
        collect(): void {
            this.set(getStatistics().clientConnections.heldBytes);
        },
    });
    new Gauge({
        name: "lynxarch_held_input_connections",
        help: "Client connections with such input.",
        registers,
        collect(): void {
            this.set(getStatistics().clientConnections.heldConnections);
        },
    });
    new Gauge({
        name: "lynxarch_client_connections_closed",
        help: "Client connections closed since the start because of a limit, by reason.",
        labelNames: ["reason"],
        registers,
        collect(): void {
            for (const [reason, count] of Object.entries(getStatistics().clientConnections.closed)) {
                this.set({ reason }, count);
            }
        },
    });
}
