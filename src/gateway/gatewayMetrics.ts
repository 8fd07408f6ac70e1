import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { LoopSample } from "../decisions/admission/overload.js";
import { RolloutMetrics } from "./rollouts/rolloutMetrics.js";
import { AccountMetrics, type AccountSnapshot } from "./accountMetrics.js";
import { addCallerMetrics, type CallerStatistics } from "./callers/callerMetrics.js";
import type { SharedConnectionCounts } from "./connectionSharing.js";
import type { EndedRequest } from "./gatewayService.js";
import type { SpareCapacity } from "./grants/grantOwner.js";
import type { StoreReadCount } from "./fleetSource.js";
import { addPeerMetrics, type PeerStatistics } from "./peers/peerMetrics.js";
import type { RolloutView } from "./rollouts/rollouts.js";
import { PlacementMetrics } from "./placementMetrics.js";
import type { ReceivedSignal } from "./targetSignalRecorder.js";

const msPerSecond = 1_000;
/** Cover usual latency objectives of a fraction of a second, and usual timeouts at the upper end; seconds. */
const secondsBuckets = [0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8];

/** Speed of one target of a service whose targets report it. */
export interface TargetSpeed {
    readonly service: string;
    readonly target: string;
    /** The last report; undefined if this router has received none. */
    readonly slowdown: number | undefined;
    readonly speedFactor: number;
}

/** Current values for the gauges, collected whenever the metrics page is rendered. */
export interface GatewayStatistics extends CallerStatistics, PeerStatistics {
    readonly openRequests: number;
    readonly configurationVersion: number;
    readonly isPlatformConnected: boolean;
    /** Age of the last read that covers all targets' records; undefined before the first read. Milliseconds. */
    readonly targetsViewAgeMs: number | undefined;
    readonly storeReads: readonly StoreReadCount[];
    readonly peers: number;
    /** Size in bytes of the newest message to the other routers, and milliseconds between messages. */
    readonly peerRound: { readonly messageBytes: number; readonly periodMs: number };
    /** Requests that are held because targets crashed while executing them. */
    readonly heldRequests: number;
    /** Groups of prompt parts that are held because targets crashed under requests with them. */
    readonly heldParts: number;
    /** Number of targets by service and state. */
    readonly targets: readonly { readonly service: string; readonly state: string; readonly count: number }[];
    /** Targets that report how long their work takes, or whose owner replied with their speed. */
    readonly targetSpeeds: readonly TargetSpeed[];
    readonly rollouts: readonly RolloutView[];
    readonly sharedConnections: SharedConnectionCounts;
    readonly load: { readonly shedShare: number; readonly loop: LoopSample };
    /** Means over the engines that this router owns; undefined without any. */
    readonly spareCapacity: SpareCapacity | undefined;
    readonly listAccounts: () => readonly AccountSnapshot[];
}

/**
 * Metrics in the Prometheus text format. Labels have few values, such as services and outcomes: labels with request ids or routes
 * would grow without bound, and accounts beyond a limit are counted together. Targets have labels only where they report their speed. Counters come first, so that collectors that truncate
 * long pages keep them.
 */
export class GatewayMetrics {
    private readonly registry = new Registry();
    private readonly requests = new Counter({
        name: "lynxarch_requests_total",
        help: "Requests that ended, by service, outcome and reason.",
        labelNames: ["service", "outcome", "reason"],
        registers: [this.registry],
    });
    private readonly ownerReplies = new Counter({
        name: "lynxarch_owner_answers_total",
        help: "Grants that owners of engines were asked for, by whether they answered.",
        labelNames: ["outcome"],
        registers: [this.registry],
    });
    private readonly attempts = new Counter({
        name: "lynxarch_attempts_total",
        help: "Sends to targets, by service.",
        labelNames: ["service"],
        registers: [this.registry],
    });
    private readonly signals = new Counter({
        name: "lynxarch_target_signals_total",
        help: "Answers in which targets said that they are leaving or want no requests for a time, or whose load report was ignored.",
        labelNames: ["service", "signal"],
        registers: [this.registry],
    });
    private readonly timeliness = new Counter({
        name: "lynxarch_answers_total",
        help: "Answers that were whole, by service and whether they kept the route's objectives.",
        labelNames: ["service", "timeliness"],
        registers: [this.registry],
    });
    private readonly promptTokens = new Counter({
        name: "lynxarch_prompt_tokens_total",
        help: "Prompt tokens of answered requests, by service and whether the target had to read them or copied them.",
        labelNames: ["service", "source"],
        registers: [this.registry],
    });
    private readonly resumedStreams = new Counter({
        name: "lynxarch_resumed_streams_total",
        help: "Responses with events of several targets, by whether all targets had the same version.",
        labelNames: ["service", "versions"],
        registers: [this.registry],
    });
    private readonly resumptions = new Counter({
        name: "lynxarch_resumptions_total",
        help: "Requests that resume a stream, by how the version that began it was found and how they ended.",
        labelNames: ["origin", "outcome"],
        registers: [this.registry],
    });
    private readonly silentRequests = new Counter({
        name: "lynxarch_silent_requests_total",
        help: "Requests that stayed at a target beyond the inactivity limit, by why they were not moved and how they ended.",
        labelNames: ["service", "obstacle", "outcome"],
        registers: [this.registry],
    });
    private readonly accounts = new AccountMetrics(this.registry);
    private readonly placements = new PlacementMetrics(this.registry);
    private readonly totalsAge = new Histogram({
        name: "lynxarch_account_sums_age_seconds",
        help: "Mean age of the other routers' account sums when a prompt's share was checked.",
        buckets: secondsBuckets,
        registers: [this.registry],
    });
    private readonly firstOutput = new Histogram({
        name: "lynxarch_first_output_seconds",
        help: "Time from a request's arrival to the first output of its target.",
        labelNames: ["service"],
        buckets: secondsBuckets,
        registers: [this.registry],
    });
    private readonly longestPause = new Histogram({
        name: "lynxarch_longest_pause_seconds",
        help: "Longest pause between two outputs of an answer.",
        labelNames: ["service"],
        buckets: secondsBuckets,
        registers: [this.registry],
    });
    private readonly duration = new Histogram({
        name: "lynxarch_request_duration_seconds",
        help: "Time from a request's arrival to the end of its answer.",
        labelNames: ["service", "outcome"],
        buckets: secondsBuckets,
        registers: [this.registry],
    });

    public constructor(private readonly getStatistics: () => GatewayStatistics) {
        const registers = [this.registry];
        const addGauge = (name: string, help: string, select: (statistics: GatewayStatistics) => number): void => {
            new Gauge({
                name,
                help,
                registers,
                collect(): void {
                    this.set(select(getStatistics()));
                },
            });
        };
        addGauge("lynxarch_open_requests", "Requests without a final answer.", statistics => statistics.openRequests);
        addGauge(
            "lynxarch_configuration_version",
            "Version of the configuration in force; 0 before the first.",
            statistics => statistics.configurationVersion,
        );
        addGauge("lynxarch_platform_connected", "1 while the last call to the platform succeeded.", statistics =>
            statistics.isPlatformConnected ? 1 : 0,
        );
        addGauge(
            "lynxarch_targets_view_age_seconds",
            "Time since which changes of targets in the platform's store may be unknown here; NaN before the first read.",
            ({ targetsViewAgeMs }) => (targetsViewAgeMs === undefined ? Number.NaN : targetsViewAgeMs / msPerSecond),
        );
        new Gauge({
            name: "lynxarch_store_reads",
            help: "Reads of the platform's records since the start, by whose records and how they ended.",
            labelNames: ["records", "outcome"],
            registers,
            collect(): void {
                for (const { records, outcome, count } of getStatistics().storeReads) {
                    this.set({ records, outcome }, count);
                }
            },
        });
        addGauge("lynxarch_held_requests", "Requests that are held because targets crashed under them.", statistics => {
            return statistics.heldRequests;
        });
        addGauge("lynxarch_held_parts", "Groups of prompt parts that are held because targets crashed.", statistics => {
            return statistics.heldParts;
        });
        new Gauge({
            name: "lynxarch_shared_connections",
            help: "Callers' connections since the start: handed over to neighbours, received, or kept as none could be reached.",
            labelNames: ["outcome"],
            registers,
            collect(): void {
                const { handedOver, received, unreached } = getStatistics().sharedConnections;
                this.set({ outcome: "handed-over" }, handedOver);
                this.set({ outcome: "received" }, received);
                this.set({ outcome: "unreached" }, unreached);
            },
        });
        addCallerMetrics(this.registry, getStatistics);
        addPeerMetrics(this.registry, getStatistics);
        addGauge("lynxarch_peers", "Other routers with a recent message.", statistics => statistics.peers);
        addGauge("lynxarch_peer_message_bytes", "Size of the newest message to other routers.", statistics => {
            return statistics.peerRound.messageBytes;
        });
        addGauge("lynxarch_peer_round_seconds", "Time from one message to other routers to the next.", statistics => {
            return statistics.peerRound.periodMs / msPerSecond;
        });
        addGauge(
            "lynxarch_shed_share",
            "Part of new requests that the router refuses unexamined, 0 to 1.",
            statistics => {
                return statistics.load.shedShare;
            },
        );
        addGauge(
            "lynxarch_loop_utilization",
            "Part of the time in which the event loop is busy, smoothed.",
            statistics => {
                return statistics.load.loop.utilization;
            },
        );
        addGauge(
            "lynxarch_loop_delay_seconds",
            "By how much timers of the event loop are late, smoothed.",
            statistics => {
                return statistics.load.loop.delayMs / msPerSecond;
            },
        );
        addGauge(
            "lynxarch_engine_granted_fraction",
            "Granted fraction of the prefill limit, mean over the engines that this router owns; NaN without any.",
            ({ spareCapacity }) => spareCapacity?.limitUsage ?? Number.NaN,
        );
        addGauge(
            "lynxarch_engine_allowance",
            "Addition to the fraction of the limit for accounts beyond their share, mean over owned engines; NaN without any.",
            ({ spareCapacity }) => spareCapacity?.allowance ?? Number.NaN,
        );
        new Gauge({
            name: "lynxarch_targets",
            help: "Targets that are known, by service and state.",
            labelNames: ["service", "state"],
            registers,
            collect(): void {
                this.reset();
                for (const { service, state, count } of getStatistics().targets) {
                    this.set({ service, state }, count);
                }
            },
        });
        new Gauge({
            name: "lynxarch_target_slowdown",
            help: "Last report of how long a target's work takes relative to its usual time, by service and target.",
            labelNames: ["service", "target"],
            registers,
            collect(): void {
                this.reset();
                for (const { service, target, slowdown } of getStatistics().targetSpeeds) {
                    if (slowdown !== undefined) {
                        this.set({ service, target }, slowdown);
                    }
                }
            },
        });
        new Gauge({
            name: "lynxarch_target_speed_factor",
            help: "Estimated time per unit of work at a target relative to that of its service, by service and target.",
            labelNames: ["service", "target"],
            registers,
            collect(): void {
                this.reset();
                for (const { service, target, speedFactor } of getStatistics().targetSpeeds) {
                    this.set({ service, target }, speedFactor);
                }
            },
        });
        new RolloutMetrics(this.registry, () => this.getStatistics().rollouts);
    }

    /** Content type of the rendered metrics. */
    public get contentType(): string {
        return this.registry.contentType;
    }

    /** Counts a request that ended. */
    public recordEnd({ tookMs, end }: EndedRequest): void {
        const service = end.service ?? "none";
        const isRefused = end.outcome === "refused";
        this.requests.inc({ service, outcome: end.outcome, reason: isRefused ? end.reason : "" });
        this.attempts.inc({ service }, end.attempts ?? 0);
        this.duration.observe({ service, outcome: end.outcome }, tookMs / msPerSecond);
        this.ownerReplies.inc({ outcome: "answered" }, (end.ownersAsked ?? 0) - (end.ownersSilent ?? 0));
        this.ownerReplies.inc({ outcome: "silent" }, end.ownersSilent ?? 0);
        this.recordShare(end);
        this.placements.recordEnd(end);
        this.recordEventVersions(service, end.eventVersions ?? []);
        if (end.originSource !== undefined) {
            this.resumptions.inc({ origin: end.originSource, outcome: end.outcome });
        }
        this.recordSilence(service, end);
        if (end.firstOutputMs !== undefined) {
            this.firstOutput.observe({ service }, end.firstOutputMs / msPerSecond);
            this.longestPause.observe({ service }, (end.longestPauseMs ?? 0) / msPerSecond);
        }
        if (end.outcome === "answered" && end.timeliness !== undefined) {
            this.timeliness.inc({ service, timeliness: end.timeliness });
            this.promptTokens.inc({ service, source: "read" }, end.newTokens ?? 0);
            this.promptTokens.inc({ service, source: "copied" }, end.fetchedTokens ?? 0);
        }
    }

    /** Counts a signal that a target sent in a response. */
    public recordSignal({ service, kind }: ReceivedSignal): void {
        this.signals.inc({ service, signal: kind });
    }

    /** All metrics in the Prometheus text format. */
    public render(): Promise<string> {
        this.accounts.update(this.getStatistics().listAccounts());
        return this.registry.metrics();
    }

    private recordSilence(service: string, { moveObstacle: obstacle, outcome }: EndedRequest["end"]): void {
        if (obstacle !== undefined) {
            this.silentRequests.inc({ service, obstacle, outcome });
        }
    }

    private recordEventVersions(service: string, eventVersions: readonly string[]): void {
        if (eventVersions.length > 1) {
            this.resumedStreams.inc({ service, versions: new Set(eventVersions).size === 1 ? "same" : "mixed" });
        }
    }

    private recordShare({ askedTokens = 0, shareUse }: EndedRequest["end"]): void {
        if (askedTokens > 0 && shareUse !== undefined) {
            this.totalsAge.observe(shareUse.sumsAgeMs / msPerSecond);
        }
    }
}
