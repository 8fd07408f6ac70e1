/**
 * Engines of different speeds behind several routers, on a fake clock: the daemons' own classes decide (`src/gateway`), and messages between
 * routers arrive late. The same requests can be sent with exact knowledge of all queues and speeds instead, for comparison.
 *
 * An engine reads prompts one after another and generates for all its streams beside that; both take longer while it is slow.
 * Left out: sockets, shared prompt parts, engines that fail.
 */
import { ManualClock } from "../../src/base/clock.js";
import { SeededRandom } from "../../src/base/random.js";
import { AccountCharge } from "../../src/gateway/accountCharge.js";
import { RequestStatistics } from "../../src/gateway/accountStatistics.js";
import type { GatewayConfiguration, RouteConfiguration } from "../../src/gateway/configuration.js";
import type { GrantMessage } from "../../src/gateway/grants/grantMessage.js";
import { decodeGrantMessage, encodeGrantMessage } from "../../src/gateway/grants/grantMessage.js";
import { RequestAdmission } from "../../src/gateway/requestAdmission.js";
import { RequestIdentity } from "../../src/gateway/quarantine/requestIdentity.js";
import type { RoutedRequest } from "../../src/gateway/routedRequest.js";
import { TargetSelector, type Selection } from "../../src/gateway/targetSelector.js";
import { openTargetSend } from "../../src/gateway/targetSend.js";
import { EventQueue } from "./eventQueue.js";
import { formatRouterId, formatRouterIp, ModelRouter } from "./modelRouter.js";

const service = "engines";
const accountCount = 4;
const timeLeftMs = 20_000;
const engineSlots = 64;
const outputTokens = 64;
const msPerSecond = 1_000;
const usualPercent = 100;

/** What an engine reports of its slowdown: the truth as it was some time ago, nothing, or always the same figure in percent. */
export type ReportScript = { readonly ageMs: number } | "silent" | { readonly percent: number };

/** An engine of the fleet. */
export interface UnevenEngine {
    /** Work per time relative to an engine of speed 1. */
    readonly speed: number;
    readonly report: ReportScript;
}

/** The fleet and its load. */
export interface UnevenFleetOptions {
    readonly engines: readonly UnevenEngine[];
    readonly routerCount: number;
    /** Time between two messages of a router about its own load. */
    readonly peerPeriodMs: number;
    /** Requested prompt tokens as a fraction of what the engines can prefill. */
    readonly loadFraction: number;
    /** Prefill speed of an engine of speed 1. */
    readonly tokensPerMs: number;
    /** Part of the time to the first event that does not depend on the prompt, and time to generate the rest, at speed 1; milliseconds. */
    readonly fixedMs: number;
    readonly generationMs: number;
    /** Mean number of prompt tokens. */
    readonly promptTokens: number;
    /** Whether engines slow down: by which factor, for how long, and which fraction of the time. */
    readonly slowPhases: { readonly factor: number; readonly ms: number; readonly fraction: number } | undefined;
    /** Whether a report of 100 is an engine's own usual speed; otherwise it is that of an engine of speed 1. */
    readonly reportsOwnUsual: boolean;
    /** Whether targets are chosen by the routers, or with exact knowledge of all queues and speeds. */
    readonly choice: "routers" | "exact";
    readonly runMs: number;
    /** Requests before this time are not measured. */
    readonly warmUpMs: number;
    readonly seed: number;
}

/** What callers got. */
export interface UnevenFleetOutcome {
    /** Times of whole responses in ascending order; milliseconds. */
    readonly durationsMs: readonly number[];
    readonly refused: number;
    /** Number of measured requests by engine. */
    readonly requestsByEngine: readonly number[];
    /** Factors that each router estimates at the end, by engine. */
    readonly factors: readonly (readonly number[])[];
}

/** Sends the requests of the given load through the fleet. */
export function runUnevenFleet(options: UnevenFleetOptions): UnevenFleetOutcome {
    return new UnevenFleet(options).run();
}

/** The value below which the given fraction of the ascending values lies. */
export function computeQuantile(ascending: readonly number[], fraction: number): number {
    return ascending[Math.min(ascending.length - 1, Math.floor(ascending.length * fraction))];
}

interface EngineJob {
    readonly prompt: { workMs: number };
    readonly generation: { workMs: number };
    readonly handleFirstOutput: () => void;
    readonly handleEnd: () => void;
}

/** An engine with a serial prefill queue and concurrent generation, played in steps of a millisecond. */
class SerialEngine {
    private readonly queue: EngineJob[] = [];
    private generating: EngineJob[] = [];
    private slowUntilMs = 0;
    private nextSlowAtMs: number;
    /** Slowdown in each millisecond so far, for old reports. */
    private readonly history: number[] = [];

    public constructor(
        private readonly engine: UnevenEngine,
        private readonly options: UnevenFleetOptions,
        private readonly random: SeededRandom,
    ) {
        this.nextSlowAtMs = this.computeNextSlowMs(0);
    }

    /** Time per work now, relative to an engine of speed 1. */
    public get slowdown(): number {
        return this.history[this.history.length - 1] ?? 1 / this.engine.speed;
    }

    /** Time that the queued prefill takes at speed 1; milliseconds. */
    public get queuedMs(): number {
        return this.queue.reduce((sum, job) => sum + job.prompt.workMs, 0);
    }

    public submit(job: EngineJob): void {
        this.queue.push(job);
    }

    /** The slowdown that the engine reports, as sent over HTTP; undefined: none. */
    public createReport(): number | undefined {
        const { report, speed } = this.engine;
        if (report === "silent") {
            return undefined;
        }
        if ("percent" in report) {
            return report.percent / usualPercent;
        }
        const slowdown = this.history[Math.max(0, this.history.length - 1 - report.ageMs)] ?? 1 / speed;
        const reported = this.options.reportsOwnUsual ? slowdown * speed : slowdown;
        return Math.round(reported * usualPercent) / usualPercent;
    }

    public advance(nowMs: number): void {
        const { slowPhases } = this.options;
        if (slowPhases !== undefined && nowMs >= this.nextSlowAtMs) {
            this.slowUntilMs = nowMs + slowPhases.ms;
            this.nextSlowAtMs = this.computeNextSlowMs(this.slowUntilMs);
        }
        const phase = nowMs < this.slowUntilMs ? (slowPhases?.factor ?? 1) : 1;
        this.history.push(phase / this.engine.speed);
        this.runPrefill();
        this.runGeneration();
    }

    private computeNextSlowMs(fromMs: number): number {
        const { slowPhases } = this.options;
        if (slowPhases === undefined) {
            return Number.POSITIVE_INFINITY;
        }
        const meanGapMs = (slowPhases.ms * (1 - slowPhases.fraction)) / slowPhases.fraction;
        return fromMs - Math.log(1 - this.random.next()) * meanGapMs;
    }

    private runPrefill(): void {
        let work = 1 / this.slowdown;
        while (work > 0 && this.queue.length > 0) {
            const [job] = this.queue;
            const done = Math.min(work, job.prompt.workMs);
            job.prompt.workMs -= done;
            work -= done;
            if (job.prompt.workMs > 1e-9) {
                break;
            }
            this.queue.shift();
            job.handleFirstOutput();
            this.generating.push(job);
        }
    }

    private runGeneration(): void {
        this.generating.forEach(job => (job.generation.workMs -= 1 / this.slowdown));
        this.generating.filter(job => job.generation.workMs <= 0).forEach(job => job.handleEnd());
        this.generating = this.generating.filter(job => job.generation.workMs > 0);
    }
}

class UnevenFleet {
    private readonly clock = new ManualClock();
    private readonly random: SeededRandom;
    /** Separate, so that the requests are the same whatever the choice draws. */
    private readonly arrivals: SeededRandom;
    private readonly events = new EventQueue();
    private readonly engines: ReadonlyMap<string, SerialEngine>;
    private readonly engineIds: readonly string[];
    private readonly routers: readonly ModelRouter[];
    private readonly routersById: ReadonlyMap<string, ModelRouter>;
    private readonly durationsMs: number[] = [];
    private readonly requestsByEngine: number[];
    private refused = 0;
    private lastRequest = 0;

    public constructor(private readonly options: UnevenFleetOptions) {
        const { seed, engines, routerCount } = options;
        this.random = new SeededRandom(seed);
        this.arrivals = new SeededRandom(seed + 1);
        const phases = new SeededRandom(seed + 2);
        this.engineIds = engines.map((...[, index]) => `e${index}`);
        this.engines = new Map(
            engines.map((engine, index) => [`e${index}`, new SerialEngine(engine, options, phases)]),
        );
        this.requestsByEngine = engines.map(() => 0);
        const configuration = this.createConfiguration();
        this.routers = Array.from(
            { length: routerCount },
            (...[, index]) =>
                new ModelRouter({
                    index,
                    clock: this.clock,
                    random: this.random,
                    configuration,
                    targets: this.engineIds.map(id => ({
                        id,
                        service,
                        address: "10.1.0.1:1",
                        dataCentre: "a",
                        slots: engineSlots,
                        state: "ready",
                        coldLeftMs: 0,
                        version: undefined,
                        startedAtMs: 1,
                    })),
                    windowMs: 4_000,
                    getExactUses: undefined,
                    transport: { send: (routerId, message) => this.sendGrantMessage(index, routerId, message) },
                    setTimer: (ms, action) => {
                        let isSet = true;
                        this.events.add(this.clock.nowMs() + ms, () => (isSet ? action() : undefined));
                        return { dispose: () => (isSet = false) };
                    },
                }),
        );
        this.routersById = new Map(this.routers.map((router, index) => [formatRouterId(index), router]));
    }

    public run(): UnevenFleetOutcome {
        const { runMs, routerCount, peerPeriodMs } = this.options;
        this.routers.forEach((router, index) =>
            this.events.add(Math.floor((index * peerPeriodMs) / routerCount), () => this.sendRound(router)),
        );
        const rate = this.computeRequestsPerMs();
        for (let nowMs = 0; nowMs < runMs; nowMs++) {
            this.engines.forEach(engine => engine.advance(nowMs));
            this.events.runUntil(nowMs);
            if (this.arrivals.next() < rate) {
                this.offer();
            }
            this.clock.advance(1);
        }
        return {
            durationsMs: this.durationsMs.sort((a, b) => a - b),
            refused: this.refused,
            requestsByEngine: this.requestsByEngine,
            factors: this.routers.map(({ directory }) =>
                this.engineIds.map(id => directory.find(id)!.speed.estimate(this.clock.nowMs()).factor),
            ),
        };
    }

    private computeRequestsPerMs(): number {
        const { engines, loadFraction, tokensPerMs, promptTokens, fixedMs, slowPhases } = this.options;
        const { fraction, factor } = slowPhases ?? { fraction: 0, factor: 1 };
        const speeds = engines.reduce((sum, { speed }) => sum + speed, 0) * (1 - fraction + fraction / factor);
        return (loadFraction * speeds) / (fixedMs + promptTokens / tokensPerMs);
    }

    private offer(): void {
        const { promptTokens, choice } = this.options;
        const nowMs = this.clock.nowMs();
        // Mean 1: 0.25 to 2.5.
        const tokens = Math.round(promptTokens * (0.25 + 2.25 * this.arrivals.next() ** 2));
        const router = this.routers[Math.floor(this.arrivals.next() * this.routers.length)];
        const account = `account-${Math.floor(this.arrivals.next() * accountCount)}`;
        if (choice === "exact") {
            const engineId = this.chooseExactly(tokens);
            this.submit(
                engineId,
                tokens,
                nowMs,
                () => undefined,
                () => undefined,
            );
            return;
        }
        const routed = this.createRouted(account, tokens);
        const charge = new AccountCharge(router.context, routed);
        charge.recordRequested();
        const selector = new TargetSelector(router.context);
        const admission = new RequestAdmission({
            context: router.context,
            routed,
            selector,
            outputTokens,
            chargedTokens: charge.askedTokens,
            isContinued: false,
            isExcluded: () => false,
            getRemainingMs: () => timeLeftMs,
        });
        admission.check([service], ({ selection }) => {
            if (selection === undefined) {
                this.recordRefusal(nowMs);
            } else {
                this.send(router, routed, charge, selector, selection, nowMs);
            }
        });
    }

    private send(
        router: ModelRouter,
        routed: RoutedRequest,
        charge: AccountCharge,
        selector: TargetSelector,
        selection: Selection,
        askedAtMs: number,
    ): void {
        const { context, directory } = router;
        const sendId = routed.head.requestId ?? "";
        const send = openTargetSend(selector, { context, selection, routed, sendId, outputTokens });
        if (send === undefined) {
            this.recordRefusal(askedAtMs);
            return;
        }
        charge.recordServed();
        const { target } = selection;
        const { availability } = target;
        const engine = this.engines.get(target.id)!;
        this.submit(
            target.id,
            routed.head.promptTokens,
            askedAtMs,
            () => {
                const slowdown = engine.createReport();
                const load = { running: 0, waiting: 0, slots: engineSlots };
                directory.observeSignals(target, availability, {
                    isLeaving: false,
                    pause: { kind: "none" },
                    load: slowdown === undefined ? load : { ...load, slowdown },
                });
                send.handleOutput(true);
            },
            () => send.close({ kind: "answered" }),
        );
    }

    private recordRefusal(askedAtMs: number): void {
        this.refused += askedAtMs >= this.options.warmUpMs ? 1 : 0;
    }

    private submit(
        engineId: string,
        tokens: number,
        askedAtMs: number,
        handleFirstOutput: () => void,
        handleEnd: () => void,
    ): void {
        const { fixedMs, tokensPerMs, generationMs, warmUpMs } = this.options;
        const isMeasured = askedAtMs >= warmUpMs;
        this.requestsByEngine[this.engineIds.indexOf(engineId)] += isMeasured ? 1 : 0;
        this.engines.get(engineId)!.submit({
            prompt: { workMs: fixedMs + tokens / tokensPerMs },
            generation: { workMs: generationMs },
            handleFirstOutput,
            handleEnd: () => {
                if (isMeasured) {
                    this.durationsMs.push(this.clock.nowMs() - askedAtMs);
                }
                handleEnd();
            },
        });
    }

    /** The engine with the shortest time to the whole response if it keeps its current speed. */
    private chooseExactly(tokens: number): string {
        const { fixedMs, tokensPerMs, generationMs } = this.options;
        const ownMs = fixedMs + tokens / tokensPerMs + generationMs;
        const times = this.engineIds.map(id => {
            const { queuedMs, slowdown } = this.engines.get(id)!;
            return (queuedMs + ownMs) * slowdown;
        });
        return this.engineIds[times.indexOf(Math.min(...times))];
    }

    private sendRound(router: ModelRouter): void {
        const nowMs = this.clock.nowMs();
        const message = router.peers.createMessage();
        const addresses = new Set(router.peers.listAddresses());
        for (const [index, peer] of this.routers.entries()) {
            if (addresses.has(formatRouterIp(index))) {
                this.events.add(nowMs + 1, () => peer.peers.applyMessage(message));
            }
        }
        this.events.add(nowMs + this.options.peerPeriodMs, () => this.sendRound(router));
    }

    /** Grants are encoded and decoded, so that their format is part of the test. */
    private sendGrantMessage(senderIndex: number, routerId: string, message: GrantMessage): boolean {
        const receiver = this.routersById.get(routerId);
        if (receiver === undefined || this.routers[senderIndex].peers.findAddress(routerId) === undefined) {
            return false;
        }
        const received = decodeGrantMessage(Uint8Array.from(encodeGrantMessage(message)))._unsafeUnwrap();
        this.events.add(this.clock.nowMs() + 1, () =>
            receiver.grants.handleMessage(formatRouterId(senderIndex), received),
        );
        return true;
    }

    private createRouted(account: string, promptTokens: number): RoutedRequest {
        const id = `r${++this.lastRequest}`;
        return {
            head: {
                requestId: id,
                remainingMs: timeLeftMs,
                apiKey: undefined,
                promptTokens,
                maxOutputTokens: outputTokens,
                promptParts: [{ id: `own-${id}`, tokens: promptTokens }],
                lastEventId: undefined,
                resumedRequestId: undefined,
            },
            route,
            account,
            path: "/",
            body: undefined,
            identity: new RequestIdentity(account, "POST", "/", undefined),
            arrivedAtMs: this.clock.nowMs(),
            figures: new RequestStatistics(undefined, 0),
        };
    }

    private createConfiguration(): GatewayConfiguration {
        const { engines, tokensPerMs } = this.options;
        return {
            version: 1,
            routes: [route],
            services: [
                {
                    name: service,
                    maxConnections: 1_000,
                    coldStartMs: 0,
                    coldRequestsPerSecond: 0,
                    engine: {
                        slots: engineSlots,
                        cacheTokens: 1_000_000,
                        tokensPerEvent: 1,
                        bytesPerToken: undefined,
                        transferBytesPerMs: undefined,
                    },
                },
            ],
            accounts: [],
            limits: {
                maxHeaderBytes: 16_384,
                maxBodyBytes: 1_048_576,
                headerTimeoutMs: 3_000,
                idleTimeoutMs: 15_000,
                tokensPerSecond: engines.length * tokensPerMs * msPerSecond,
            },
        };
    }
}

const route: RouteConfiguration = {
    name: "stream",
    host: "fleet.example",
    pathPrefix: "/",
    kind: "stream",
    destinations: [{ service, weight: 1 }],
    timeoutMs: timeLeftMs,
    objectiveMs: 4_000,
    maxAttempts: 1,
    priority: 1,
    isPublic: false,
    isResumable: false,
    hasPrompts: true,
    pauseObjectiveMs: 4_000,
};
