/**
 * A fleet of routers before model engines, played on a fake clock: the daemons' own classes decide (`src/gateway`), engines
 * are {@link ChunkedEngine}s, and messages between routers arrive late or not at all.
 *
 * Routers have the processor time that is given ({@link ProcessorOptions}), or any. Callers may leave before the first output.
 * Left out: sockets, engines that fail, callers who leave a stream.
 */
import { ManualClock } from "../../src/base/clock.js";
import type { Disposable } from "../../src/base/lifecycle.js";
import { SeededRandom } from "../../src/base/random.js";
import { computeAcceptBacklog } from "../../src/decisions/admission/acceptQueue.js";
import type { ReportedRouter } from "../../src/decisions/shares/accountShares.js";
import { AccountCharge } from "../../src/gateway/accountCharge.js";
import { RequestStatistics } from "../../src/gateway/accountStatistics.js";
import type { GatewayConfiguration, RouteConfiguration } from "../../src/gateway/configuration.js";
import { aggregationPeriodMs } from "../../src/gateway/peers/accountAggregation.js";
import type { GrantMessage } from "../../src/gateway/grants/grantMessage.js";
import type { SpareCapacity } from "../../src/gateway/grants/grantOwner.js";
import type { TargetEntry } from "../../src/gateway/fleetSource.js";
import { encodePeerMessage } from "../../src/gateway/peers/peerMessage.js";
import { maxControlBytesPerSecond } from "../../src/gateway/peers/peerState.js";
import { RequestAdmission } from "../../src/gateway/requestAdmission.js";
import { RequestIdentity } from "../../src/gateway/quarantine/requestIdentity.js";
import { RequestShedder } from "../../src/gateway/requestShedder.js";
import type { RoutedRequest } from "../../src/gateway/routedRequest.js";
import { TargetSelector, type Selection } from "../../src/gateway/targetSelector.js";
import { openTargetSend } from "../../src/gateway/targetSend.js";
import type { PromptPart } from "../../src/gateway/wire.js";
import { ChunkedEngine, type ChunkedEngineOptions, type EngineRequest, type EngineStream } from "./chunkedEngine.js";
import { EngineSignals, type EngineSignalOptions, type SignalFigures } from "./engineSignals.js";
import { Balancer } from "./balancer.js";
import { EventQueue } from "./eventQueue.js";
import { RouterProcessor, type ProcessorOptions } from "./routerProcessor.js";
import { formatRouterId, formatRouterIp, ModelRouter, type ModelSettings } from "./modelRouter.js";

const service = "engines";
/** Data centre of a fleet that is in one. */
const oneDataCentre = "a";
const objectiveMs = 800;
const windowMs = 4_000;
const eventCount = 16;
const timeLeftMs = 8_000;
const engineSlots = 64;
const msPerSecond = 1_000;
/** A caller whose request is unread for so long leaves. */
const unreadMs = 1_000;
/** Routers of a data centre without a balancer. */
const routersPerDataCentre = 14;
/** A caller whose connection is not accepted for so long gives it up. */
const connectTimeoutMs = 1_000;
/** Time between two checks of a router's readiness. */
const checkPeriodMs = 1_000;
/** Time between two samples of what is granted. */
const samplePeriodMs = 100;
/** When a caller returns whom a router shed. */
const shedRetryMs = 500;
/** Most of the time that is left in which a refused caller waits before it returns. */
const mostReturnShare = 1 / 3;

/** What one account sends. */
export interface AccountLoad {
    readonly account: string;
    /** Requests a second. */
    readonly rate: number;
    /** Mean of what a prompt holds besides shared parts. */
    readonly promptTokens: number;
    readonly shared?: SharedPart;
    /** A flood sends `rate` within this time alone; always without it. */
    readonly fromMs?: number;
    readonly toMs?: number;
    /** Routers that its callers reach, the first ones; all when left out. */
    readonly reach?: number;
    /** Its callers have one address, so that a balancer sends them all to the same router; spread when left out. */
    readonly address?: CallerAddress;
    /** Number of the data centre that most of its callers are in; spread when left out. */
    readonly home?: number;
}

/** Data centres that routers and engines are spread over evenly. */
export interface FleetDataCentres {
    readonly count: number;
    /** Part of an account's callers who are in its home; the others are spread over the other data centres. */
    readonly homeFraction: number;
    /** Size of a request's body. */
    readonly bodyBytes: number;
}

/** A part in front of prompts that requests for the same subject share. */
export interface SharedPart {
    readonly tokens: number;
    readonly subjects: number;
    /** A new subject replaces the oldest one each time; never when left out. */
    readonly turnoverMs?: number;
}

/** Where a balancer finds a caller. */
export interface CallerAddress {
    readonly dataCentre: number;
    readonly hash: number;
}

/** A fleet of engines behind routers, and what happens to it. */
export interface PromptFleetOptions {
    readonly engine: ChunkedEngineOptions;
    readonly pauseObjectiveMs: number;
    readonly engineCount: number;
    readonly routerCount: number;
    /** Time between two messages of a router; as the product spaces them by their size when left out. */
    readonly peerPeriodMs?: number;
    /** Whether routers of a data centre sum up what its accounts had; true when left out. */
    readonly aggregates?: boolean;
    /** Time that a message between routers takes. */
    readonly peerDelayMs?: number;
    /** Share of messages between routers that are lost. */
    readonly peerLoss?: number;
    /** What operators promise, as a part of what the engines read. */
    readonly promisedShare: number;
    /** Engines that take no more requests from a time on. */
    readonly lost?: { readonly count: number; readonly atMs: number };
    /** News that is never late, to tell what late news costs. */
    readonly exactNews?: ExactNews;
    /** Time that an engine takes to copy a token from another one; engines can't copy when left out. */
    readonly copyMsPerToken?: number;
    /** Engines that leave or pause; none when left out. */
    readonly signals?: EngineSignalOptions;
    /** Processor time of routers; as much as they need when left out. */
    readonly processor?: ProcessorOptions;
    /** A balancer that checks whether routers are ready; callers choose a router by themselves when left out. */
    readonly balancer?: FleetBalancer;
    /** Callers leave when they have no output so long after they asked; only those that are unread for a second when left out. */
    readonly patienceMs?: number;
    /** Settings of all routers that differ from their defaults. */
    readonly settings?: ModelSettings;
    /** Engines are in one data centre, that of all routers, when left out. */
    readonly dataCentres?: FleetDataCentres;
    /** How often a refused caller returns; never when left out. */
    readonly returns?: number;
    readonly runMs: number;
    readonly seed: number;
}

/** A balancer before routers of several data centres. */
export interface FleetBalancer {
    readonly routersPerDataCentre: number;
    /** Parts of a core that the routers of a data centre may use, in place of the one for all. */
    readonly processorShares: readonly number[];
}

/** Kinds of news between routers that are never late. */
export interface ExactNews {
    /** What accounts asked and got. */
    readonly accounts: boolean;
    /** What waits at engines. */
    readonly load: boolean;
}

/** What an account asked and got in one second, in tokens. */
export interface AccountSecond {
    asked: number;
    served: number;
    requests: number;
    admitted: number;
    /** Tokens that began to be output in this second, and those that engines were sent for callers who left before that. */
    begun: number;
    leftBeforeOutput: number;
    /** Requests that no router had read when their caller left. */
    leftUnread: number;
    /** Requests that routers shed. */
    shed: number;
    /** Admitted requests whose engine is in another data centre than their router. */
    crossing: number;
}

/** What callers got. */
export interface FleetOutcome {
    /** By account, a row for each second. */
    readonly seconds: ReadonlyMap<string, readonly AccountSecond[]>;
    readonly ended: readonly EngineStream[];
    /** Prompt tokens that engines read, and shared ones among them that some engine had read before itself. */
    readonly readTokens: number;
    readonly rereadTokens: number;
    /** Mean time between two messages of a router at the end; milliseconds. */
    readonly peerPeriodMs: number;
    /** Of engines that leave or pause. */
    readonly signals: SignalFigures | undefined;
    /** By second, most tokens that any engine held at a time. */
    readonly peakHeldTokens: readonly number[];
    /** By second, means over the engines. */
    readonly spareCapacity: readonly SpareCapacity[];
    /** Tokens of shared parts that engines read although some engine had read them before. */
    readonly repeatedTokens: number;
}

/** A caller's request, with what stays the same when it returns after a refusal. */
interface Call {
    readonly account: string;
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    readonly reach: number;
    readonly address: CallerAddress | undefined;
    readonly home: number | undefined;
    readonly askedAtMs: number;
    readonly returnsLeft: number;
}

/** A request that its router has let in. */
interface AdmittedCall {
    readonly call: Call;
    readonly router: ModelRouter;
    readonly routed: RoutedRequest;
    readonly charge: AccountCharge;
    readonly selection: Selection;
    readonly selector: TargetSelector;
}

/** Plays accounts' requests through the routers' own decisions. */
export function runPromptFleet(options: PromptFleetOptions, loads: readonly AccountLoad[]): FleetOutcome {
    return new PromptFleet(options, loads).run();
}

/** Sum of the values. */
export function computeSum(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0);
}

function computeMean(values: readonly number[]): number {
    return computeSum(values) / Math.max(1, values.length);
}

/** Whether the stream kept its objectives. */
export function isInTime(stream: EngineStream, pauseObjectiveMs: number): boolean {
    const firstMs = (stream.firstAtMs ?? Number.POSITIVE_INFINITY) - stream.askedAtMs;
    return firstMs <= objectiveMs && stream.longestPauseMs <= pauseObjectiveMs;
}

class PromptFleet {
    private readonly clock = new ManualClock();
    private readonly random: SeededRandom;
    private readonly events = new EventQueue();
    private readonly engines: ReadonlyMap<string, ChunkedEngine>;
    private readonly routers: readonly ModelRouter[];
    private readonly processors: readonly (RouterProcessor | undefined)[];
    private readonly shedders: readonly RequestShedder[];
    private readonly routersById: ReadonlyMap<string, ModelRouter>;
    private readonly seconds: ReadonlyMap<string, AccountSecond[]>;
    private readonly ended: EngineStream[] = [];
    private readonly peakHeldTokens: number[] = [];
    private readonly spareSamples: readonly SpareCapacity[][];
    private readonly route: RouteConfiguration;
    private readonly signals: EngineSignals | undefined;
    private readonly engineIndexes: ReadonlyMap<string, number>;
    private readonly balancer: Balancer | undefined;
    private lastRequest = 0;
    /** Shared parts that engines were sent. */
    private readonly sharedParts = new Map<string, number>();

    public constructor(
        private readonly options: PromptFleetOptions,
        private readonly loads: readonly AccountLoad[],
    ) {
        const { seed, engineCount, engine, routerCount, runMs, pauseObjectiveMs } = options;
        this.random = new SeededRandom(seed);
        this.engines = new Map(
            Array.from({ length: engineCount }, (...[, index]) => [`e${index}`, new ChunkedEngine(engine)]),
        );
        this.engineIndexes = new Map([...this.engines.keys()].map((id, index) => [id, index]));
        this.signals = options.signals === undefined ? undefined : new EngineSignals(options.signals);
        this.route = createRoute(pauseObjectiveMs);
        const configuration = this.createConfiguration();
        const targets = [...this.engines.keys()].map((id, index) => createTargetEntry(id, this.findDataCentre(index)));
        this.processors = Array.from({ length: routerCount }, (...[, index]) => this.createProcessor(index));
        this.balancer = this.createBalancer();
        this.routers = Array.from(
            { length: routerCount },
            (...[, index]) =>
                new ModelRouter({
                    index,
                    clock: this.clock,
                    random: this.random,
                    configuration,
                    targets,
                    windowMs,
                    transport: { send: (routerId, message) => this.sendGrantMessage(index, routerId, message) },
                    load: this.processors[index]?.detector,
                    dataCentre:
                        this.findDataCentre(index) ??
                        `dc-${Math.floor(index / (options.balancer?.routersPerDataCentre ?? routersPerDataCentre))}`,
                    processorShare: this.processors[index]?.share ?? 1,
                    reportsLeaving: options.signals?.noticed === "answers-and-peers",
                    settings: { ...options.settings, dataCentre: this.findDataCentre(index) ?? oneDataCentre },
                    setTimer: (ms, action) => this.setTimer(ms, action),
                    getExactUses: options.exactNews?.accounts === true ? () => this.listExactUses(index) : undefined,
                }),
        );
        this.shedders = this.routers.map(router => new RequestShedder(router.context));
        this.routersById = new Map(this.routers.map((router, index) => [formatRouterId(index), router]));
        const secondCount = Math.ceil(runMs / msPerSecond);
        this.spareSamples = Array.from({ length: secondCount }, () => []);
        this.seconds = new Map(
            loads.map(({ account }) => [account, Array.from({ length: secondCount }, () => createSecond())]),
        );
    }

    public run(): FleetOutcome {
        this.startRounds();
        this.startChecks();
        for (let nowMs = 0; nowMs < this.options.runMs; nowMs++) {
            this.engines.forEach(engine => engine.advance(nowMs));
            this.events.runUntil(nowMs);
            if (nowMs === this.options.lost?.atMs) {
                this.removeEngines(this.options.lost.count);
            }
            this.endLeaving(nowMs);
            if (nowMs % samplePeriodMs === 0) {
                this.recordSpareCapacity(nowMs);
            }
            this.loads.forEach(load => this.addArrivals(load, nowMs));
            this.clock.advance(1);
            if ((nowMs + 1) % msPerSecond === 0) {
                const peaks = [...this.engines.values()].map(engine => engine.takePeakHeldTokens());
                this.peakHeldTokens.push(Math.max(...peaks));
            }
        }
        const engines = [...this.engines.values()];
        return {
            seconds: this.seconds,
            ended: this.ended,
            readTokens: computeSum(engines.map(engine => engine.readTokens)),
            rereadTokens: computeSum(engines.map(engine => engine.rereadTokens)),
            peerPeriodMs: computeSum(this.routers.map(router => router.peers.round.periodMs)) / this.routers.length,
            repeatedTokens:
                computeSum(engines.map(engine => engine.sharedReadTokens)) - computeSum([...this.sharedParts.values()]),
            signals: this.signals?.figures,
            peakHeldTokens: this.peakHeldTokens,
            spareCapacity: this.spareSamples.map(samples => ({
                engines: Math.max(...samples.map(sample => sample.engines)),
                allowance: computeMean(samples.map(sample => sample.allowance)),
                limitUsage: computeMean(samples.map(sample => sample.limitUsage)),
            })),
        };
    }

    private recordSpareCapacity(nowMs: number): void {
        const owned = this.routers.map(router => router.owner.computeSpareCapacity()).filter(all => all !== undefined);
        const engines = computeSum(owned.map(own => own.engines));
        this.spareSamples[Math.floor(nowMs / msPerSecond)].push({
            engines,
            allowance: computeSum(owned.map(own => own.allowance * own.engines)) / Math.max(1, engines),
            limitUsage: computeSum(owned.map(own => own.limitUsage * own.engines)) / Math.max(1, engines),
        });
    }

    /** Each router sends its first message at a moment of its own within a period. */
    private startRounds(): void {
        const { peerPeriodMs = 100, routerCount } = this.options;
        for (const [index, router] of this.routers.entries()) {
            this.events.add(Math.floor((index * peerPeriodMs) / routerCount), () => this.sendRound(router));
            if (this.aggregates) {
                const atMs = Math.floor((index * aggregationPeriodMs) / routerCount);
                this.events.add(atMs, () => this.sendTotals(index));
            }
        }
    }

    /** Rounds of a given period stand for news that is late, however it travels. */
    private get aggregates(): boolean {
        return this.options.peerPeriodMs === undefined && this.options.aggregates !== false;
    }

    private sendTotals(senderIndex: number): void {
        const { peerDelayMs = 1, peerLoss = 0 } = this.options;
        const nowMs = this.clock.nowMs();
        for (const { routerId, message } of this.routers[senderIndex].peers.createTotalsMessages()) {
            const receiver = this.routersById.get(routerId);
            if (receiver !== undefined && this.random.next() >= peerLoss) {
                this.events.add(nowMs + peerDelayMs, () =>
                    receiver.peers.applyTotals(formatRouterId(senderIndex), message),
                );
            }
        }
        this.events.add(nowMs + aggregationPeriodMs, () => this.sendTotals(senderIndex));
    }

    private createProcessor(index: number): RouterProcessor | undefined {
        const { processor, balancer } = this.options;
        if (processor === undefined) {
            return undefined;
        }
        const share = balancer?.processorShares[index % balancer.routersPerDataCentre] ?? processor.share;
        return new RouterProcessor({ ...processor, share }, this.events, this.clock.nowMs());
    }

    private createBalancer(): Balancer | undefined {
        const { balancer, routerCount } = this.options;
        return balancer === undefined
            ? undefined
            : new Balancer({
                  routerCount,
                  routersPerDataCentre: balancer.routersPerDataCentre,
                  isReady: index => this.processors[index]?.detector.shouldLeaveBalancer !== true,
              });
    }

    private startChecks(): void {
        for (let atMs = 0; this.balancer !== undefined && atMs < this.options.runMs; atMs += checkPeriodMs) {
            this.events.add(atMs, () => this.balancer?.checkRouters());
        }
    }

    private sendRound(router: ModelRouter): void {
        const { peerPeriodMs, peerDelayMs = 1, peerLoss = 0 } = this.options;
        const nowMs = this.clock.nowMs();
        const message = router.peers.createMessage();
        const addresses = new Set(router.peers.listAddresses());
        for (const [index, peer] of this.routers.entries()) {
            if (addresses.has(formatRouterIp(index)) && this.random.next() >= peerLoss) {
                this.events.add(nowMs + peerDelayMs, () => peer.peers.applyMessage(message));
            }
        }
        // A given period stands for messages of the size that takes so long.
        const bytes =
            peerPeriodMs === undefined
                ? encodePeerMessage(message).length
                : (peerPeriodMs * maxControlBytesPerSecond) / (msPerSecond * Math.max(1, addresses.size));
        router.peers.recordRound(bytes, addresses.size);
        this.events.add(nowMs + (peerPeriodMs ?? router.peers.round.periodMs), () => this.sendRound(router));
    }

    /** False: the sender has not received any message of the router yet. */
    private sendGrantMessage(senderIndex: number, routerId: string, message: GrantMessage): boolean {
        const { peerDelayMs = 1, peerLoss = 0 } = this.options;
        const receiver = this.routersById.get(routerId);
        this.processors[senderIndex]?.charge("message", this.clock.nowMs());
        if (receiver === undefined || this.routers[senderIndex].peers.findAddress(routerId) === undefined) {
            return false;
        }
        if (this.random.next() >= peerLoss) {
            this.events.add(this.clock.nowMs() + peerDelayMs, () =>
                this.runWork(this.routers.indexOf(receiver), "message", () =>
                    receiver.grants.handleMessage(formatRouterId(senderIndex), message),
                ),
            );
        }
        return true;
    }

    private setTimer(ms: number, action: () => void): Disposable {
        let isSet = true;
        this.events.add(this.clock.nowMs() + ms, () => {
            if (isSet) {
                action();
            }
        });
        return { dispose: () => (isSet = false) };
    }

    private listExactUses(index: number): readonly ReportedRouter[] {
        return this.routers
            .filter((...[, other]) => other !== index)
            .map(router => ({ ...router.shares.listOwnAccounts(this.clock.nowMs()), ageMs: 0 }));
    }

    private removeEngines(count: number): void {
        const lost = [...this.engines.keys()].slice(0, count);
        for (const { directory } of this.routers) {
            lost.forEach(id => directory.applyChange({ kind: "target", id, entry: undefined }));
        }
    }

    /** Engines that leave end: their streams are cut, and their records go. */
    private endLeaving(nowMs: number): void {
        const { leaving } = this.options.signals ?? {};
        if (leaving === undefined || this.signals === undefined || nowMs !== leaving.atMs + leaving.lingerMs) {
            return;
        }
        const engines = [...this.engines.values()].slice(0, leaving.count);
        this.signals.figures.cut += computeSum(engines.map(engine => engine.load));
        this.removeEngines(leaving.count);
    }

    private addArrivals(load: AccountLoad, nowMs: number): void {
        const isOn = nowMs >= (load.fromMs ?? 0) && nowMs < (load.toMs ?? Number.POSITIVE_INFINITY);
        if (isOn && this.random.next() < load.rate / msPerSecond) {
            this.offer(this.createCall(load, nowMs));
        }
    }

    /** Of the router or engine with this index. */
    private findDataCentre(index: number): string | undefined {
        const { dataCentres } = this.options;
        return dataCentres === undefined ? undefined : `dc-${index % dataCentres.count}`;
    }

    /** The parts of an account with a home are its own; others share them with accounts whose parts have the same size. */
    private createSharedPart(
        account: string,
        home: number | undefined,
        { tokens, subjects, turnoverMs = Number.POSITIVE_INFINITY }: SharedPart,
        nowMs: number,
    ): PromptPart {
        const subject = Math.floor(this.random.next() * subjects) + Math.floor(nowMs / turnoverMs);
        return { id: `${home === undefined ? "" : `${account}-`}${tokens}-${subject}`, tokens };
    }

    private createCall({ account, promptTokens, shared, reach, address, home }: AccountLoad, nowMs: number): Call {
        const ownTokens = Math.round(promptTokens * (0.2 + 2 * this.random.next() ** 2));
        const own = { id: `own-${++this.lastRequest}`, tokens: ownTokens };
        const parts = shared === undefined ? [own] : [this.createSharedPart(account, home, shared, nowMs), own];
        const call = {
            account,
            parts,
            promptTokens: computeSum(parts.map(part => part.tokens)),
            reach: reach ?? this.routers.length,
            address,
            home,
            askedAtMs: nowMs,
            returnsLeft: this.options.returns ?? 0,
        };
        const second = this.findSecond(account, nowMs);
        second.asked += call.promptTokens;
        second.requests += 1;
        return call;
    }

    /** Does the action once the router's processor has done the work. */
    private runWork(routerIndex: number, kind: "serve" | "message", action: () => void): void {
        const processor = this.processors[routerIndex];
        if (processor === undefined) {
            action();
        } else {
            processor.submit(kind, this.clock.nowMs(), action);
        }
    }

    private offer(call: Call): void {
        const index = this.chooseRouter(call);
        const arrivedAtMs = this.clock.nowMs();
        const processor = this.processors[index];
        if (processor !== undefined && processor.unreadConnections >= computeAcceptBacklog(processor.share)) {
            this.findSecond(call.account, arrivedAtMs).leftUnread += 1;
            this.addReturn(call, connectTimeoutMs);
            return;
        }
        this.runRead(processor, () => {
            const nowMs = this.clock.nowMs();
            if (this.hasLeft(call) || (this.options.patienceMs === undefined && nowMs - arrivedAtMs > unreadMs)) {
                this.findSecond(call.account, nowMs).leftUnread += 1;
            } else {
                this.handle(call, index);
            }
        });
    }

    private runRead(processor: RouterProcessor | undefined, action: () => void): void {
        if (processor === undefined) {
            action();
        } else {
            processor.submitRead(this.clock.nowMs(), action);
        }
    }

    private hasLeft({ askedAtMs }: Call): boolean {
        return this.clock.nowMs() - askedAtMs >= (this.options.patienceMs ?? Number.POSITIVE_INFINITY);
    }

    private handle(call: Call, routerIndex: number): void {
        const nowMs = this.clock.nowMs();
        const router = this.routers[routerIndex];
        const routed = this.createRouted(call);
        if (this.shedders[routerIndex].check(routed)) {
            this.findSecond(call.account, nowMs).shed += 1;
            this.addReturn(call, shedRetryMs);
            return;
        }
        const charge = new AccountCharge(router.context, routed);
        charge.recordRequested();
        this.applyExactLoad(router);
        const selector = new TargetSelector(router.context, {
            bodyBytes: this.options.dataCentres?.bodyBytes ?? 0,
            objectiveMs,
        });
        const admission = new RequestAdmission({
            context: router.context,
            routed,
            selector,
            outputTokens: charge.outputTokens,
            chargedTokens: charge.askedTokens,
            isContinued: false,
            isExcluded: () => false,
            getRemainingMs: () => call.askedAtMs + timeLeftMs - nowMs,
        });
        admission.check([service], admitted => {
            const { selection } = admitted;
            if (selection !== undefined) {
                this.runWork(routerIndex, "serve", () =>
                    this.send({ call, router, routed, charge, selection, selector }),
                );
            } else {
                this.addReturn(call, admitted.retryAfterMs);
            }
        });
    }

    private addReturn(call: Call, retryAfterMs: number): void {
        if (call.returnsLeft === 0) {
            return;
        }
        const nowMs = this.clock.nowMs();
        const leftMs = call.askedAtMs + timeLeftMs - nowMs;
        const waitMs = Math.max(1, Math.round(Math.min(retryAfterMs, leftMs * mostReturnShare)));
        this.events.add(nowMs + waitMs, () => this.offer({ ...call, returnsLeft: call.returnsLeft - 1 }));
    }

    private send({ call, router, routed, charge, selection, selector }: AdmittedCall): void {
        const nowMs = this.clock.nowMs();
        const { target } = selection;
        if (this.hasLeft(call)) {
            selection.grant?.report("not-run");
            return;
        }
        const send = openTargetSend(selector, {
            context: router.context,
            selection,
            routed,
            sendId: routed.head.requestId ?? "",
            outputTokens: charge.outputTokens,
        });
        const engineIndex = this.engineIndexes.get(target.id)!;
        if (send === undefined) {
            selection.grant?.report("not-run");
            this.addReturn(call, selector.explainNoTarget([service]).retryAfterMs);
            return;
        }
        if (this.signals?.receiveSend(router, target, engineIndex, nowMs) === true) {
            send.close({ kind: "not-run", reason: "refused", detail: "" });
            this.addReturn(call, selector.explainNoTarget([service]).retryAfterMs);
            return;
        }
        const second = this.findSecond(call.account, call.askedAtMs);
        second.admitted += 1;
        second.served += call.promptTokens;
        charge.recordServed();
        second.crossing += target.dataCentre === router.context.settings.dataCentre ? 0 : 1;
        call.parts.slice(0, -1).forEach(({ id, tokens }) => this.sharedParts.set(id, tokens));
        const request: EngineRequest = {
            account: call.account,
            askedAtMs: call.askedAtMs,
            parts: call.parts,
            copiedTokens: selection.fetch?.tokens ?? 0,
            events: eventCount,
            handleFirstOutput: () => {
                this.findSecond(call.account, this.clock.nowMs()).begun += call.promptTokens;
                this.signals?.handleAnswer(router, target, engineIndex, this.clock.nowMs());
                send.handleOutput(true);
            },
            handleEnd: stream => {
                send.close({ kind: "answered" });
                charge.observeOutput(eventCount, this.options.engine.tokensPerEvent);
                this.ended.push(stream);
                if (selection.grant !== undefined) {
                    const isLate = stream.longestPauseMs > this.options.pauseObjectiveMs;
                    router.context.prefillShares.getOrCreate(service).observe(isLate, selection.grant.usage);
                }
            },
        };
        const engine = this.engines.get(target.id)!;
        const copyMs = Math.round(selection.fetch?.ms ?? 0);
        this.events.add(nowMs + copyMs, () => {
            if (!this.hasLeft(call)) {
                engine.submit(request, this.clock.nowMs());
            }
        });
        this.addLeave(call, engine, request, nowMs + copyMs, () => send.close({ kind: "stopped", reason: "left" }));
    }

    private addLeave(
        call: Call,
        engine: ChunkedEngine,
        request: EngineRequest,
        submitAtMs: number,
        closeSend: () => void,
    ): void {
        const { patienceMs } = this.options;
        if (patienceMs === undefined) {
            return;
        }
        this.events.add(call.askedAtMs + patienceMs, () => {
            const isCopying = this.clock.nowMs() <= submitAtMs;
            if (isCopying || engine.cancel(request)) {
                this.findSecond(call.account, this.clock.nowMs()).leftBeforeOutput += call.promptTokens;
                closeSend();
            }
        });
    }

    private applyExactLoad({ directory }: ModelRouter): void {
        if (this.options.exactNews?.load !== true) {
            return;
        }
        for (const target of directory.listAll()) {
            const { waitingTokens, load } = this.engines.get(target.id)!;
            target.peerLoad = {
                waitingTokens: Math.max(0, waitingTokens - target.ownWaitingTokens),
                running: Math.max(0, load - target.ownRunning),
            };
        }
    }

    private findSecond(account: string, atMs: number): AccountSecond {
        return this.seconds.get(account)![Math.floor(atMs / msPerSecond)];
    }

    private chooseRouter({ reach, address, home }: Call): number {
        const { dataCentres } = this.options;
        if (dataCentres !== undefined && home !== undefined) {
            const { count, homeFraction } = dataCentres;
            const isAway = this.random.next() >= homeFraction;
            const dataCentre = isAway ? (home + 1 + Math.floor(this.random.next() * (count - 1))) % count : home;
            return dataCentre + count * Math.floor((this.random.next() * this.routers.length) / count);
        }
        if (this.balancer !== undefined) {
            const { routersPerDataCentre } = this.options.balancer!;
            const index = Math.floor(this.random.next() * this.routers.length);
            const spread = { dataCentre: Math.floor(index / routersPerDataCentre), hash: index % routersPerDataCentre };
            const { dataCentre, hash } = address ?? spread;
            return this.balancer.chooseRouter(dataCentre, hash);
        }
        return reach === 1 ? 0 : Math.floor(this.random.next() * reach);
    }

    private createRouted({ account, parts, promptTokens }: Call): RoutedRequest {
        return {
            head: {
                requestId: `r${++this.lastRequest}`,
                remainingMs: timeLeftMs,
                apiKey: undefined,
                promptTokens,
                maxOutputTokens: eventCount * this.options.engine.tokensPerEvent,
                promptParts: parts,
                lastEventId: undefined,
                resumedRequestId: undefined,
            },
            route: this.route,
            account,
            path: "/",
            body: undefined,
            identity: new RequestIdentity(account, "POST", "/", undefined),
            arrivedAtMs: this.clock.nowMs(),
            figures: new RequestStatistics(undefined, 0),
        };
    }

    private createConfiguration(): GatewayConfiguration {
        const { engine, engineCount, promisedShare } = this.options;
        return {
            version: 1,
            routes: [this.route],
            services: [
                {
                    name: service,
                    maxConnections: 1_000,
                    coldStartMs: 0,
                    coldRequestsPerSecond: 0,
                    engine: {
                        slots: engineSlots,
                        cacheTokens: engine.cacheTokens ?? 0,
                        tokensPerEvent: engine.tokensPerEvent,
                        bytesPerToken: this.options.copyMsPerToken,
                        transferBytesPerMs: this.options.copyMsPerToken === undefined ? undefined : 1,
                    },
                },
            ],
            accounts: [],
            limits: {
                maxHeaderBytes: 16_384,
                maxBodyBytes: 1_048_576,
                headerTimeoutMs: 3_000,
                idleTimeoutMs: 15_000,
                tokensPerSecond: engineCount * engine.tokensPerMs * msPerSecond * promisedShare,
            },
        };
    }
}

function createSecond(): AccountSecond {
    return {
        asked: 0,
        served: 0,
        requests: 0,
        admitted: 0,
        begun: 0,
        leftBeforeOutput: 0,
        leftUnread: 0,
        shed: 0,
        crossing: 0,
    };
}

function createRoute(pauseObjectiveMs: number): RouteConfiguration {
    return {
        name: "stream",
        host: "fleet.example",
        pathPrefix: "/",
        kind: "stream",
        destinations: [{ service, weight: 1 }],
        timeoutMs: timeLeftMs,
        objectiveMs,
        maxAttempts: 1,
        priority: 1,
        isPublic: false,
        isResumable: false,
        hasPrompts: true,
        pauseObjectiveMs,
    };
}

function createTargetEntry(id: string, dataCentre = oneDataCentre): TargetEntry {
    return {
        id,
        service,
        address: "10.1.0.1:1",
        dataCentre,
        slots: engineSlots,
        state: "ready",
        coldLeftMs: 0,
        version: undefined,
        startedAtMs: 1,
    };
}
