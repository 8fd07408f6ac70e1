/**
 * Model of connections to routers of unequal size in several data centres: the balancer, accept queues, processor time and overload detection,
 * and the daemon's own decision whether a router asks for new connections. Targets are not modelled.
 */
import { ManualClock } from "../../src/base/clock.js";
import { NoopLogger } from "../../src/base/log.js";
import { SeededRandom } from "../../src/base/random.js";
import { computeAcceptBacklog } from "../../src/decisions/admission/acceptQueue.js";
import { NeighbourLoads } from "../../src/gateway/callers/neighbourLoads.js";
import { describeRouter } from "../../src/gateway/gatewayState.js";
import type { RouterCondition } from "../../src/gateway/peers/peerMessage.js";
import { Balancer } from "./balancer.js";
import { EventQueue } from "./eventQueue.js";
import { RouterProcessor } from "./routerProcessor.js";

/** Routers of a data centre and the connections that reach it. */
export interface ModelDataCentre {
    readonly name: string;
    /** Fraction of a core of each router. */
    readonly processorShares: readonly number[];
    /** New connections a second, 1,000 at most, at a time since the start. */
    readonly getRate: (nowMs: number) => number;
}

/** What a {@link ConnectionFleet} needs. */
export interface ConnectionFleetOptions {
    readonly dataCentres: readonly ModelDataCentre[];
    readonly yieldsToLargerRouters: boolean;
    readonly runMs: number;
    readonly seed: number;
    /** Time from one report of a router's condition to the next; milliseconds. */
    readonly reportPeriodMs: number;
}

/** Counts of one second of a data centre. */
export interface ConnectionCounts {
    /** New requests, without retries. */
    asked: number;
    served: number;
    /** Attempts to connect, with retries. */
    attempts: number;
    /** Attempts that failed because the accept queue was full. */
    failed: number;
    /** Checks of routers' readiness that failed, and all of them. */
    notReady: number;
    checks: number;
}

/** Costs of a refused request, and what serving it costs in addition; milliseconds of a full core. */
const processorCosts = { readMs: 1.5, serveMs: 2.5, messageMs: 0.12 };
const checkPeriodMs = 1_000;
const reportDelayMs = 2;
/** Callers whose connection failed, and those whose request was refused, try once more after this time; milliseconds. */
const retryMs = { connect: 200, refused: 500 };
/** Time after which a caller no longer waits; milliseconds. */
const patienceMs = 2_000;
const msPerSecond = 1_000;

interface ConnectionRouter {
    readonly routerId: string;
    readonly dataCentre: ModelDataCentre;
    readonly processor: RouterProcessor;
    readonly conditions: Map<string, RouterCondition>;
    readonly neighbours: NeighbourLoads;
}

interface Call {
    readonly site: Site;
    readonly askedAtMs: number;
    readonly isRetry: boolean;
}

interface Site {
    readonly dataCentre: ModelDataCentre;
    readonly routers: readonly ConnectionRouter[];
    readonly balancer: Balancer;
    readonly seconds: ConnectionCounts[];
}

/** Runs the model; the counts of each data centre's seconds, by its name. */
export function runConnectionFleet(
    options: ConnectionFleetOptions,
): ReadonlyMap<string, readonly Readonly<ConnectionCounts>[]> {
    return new ConnectionFleet(options).run();
}

class ConnectionFleet {
    private readonly clock = new ManualClock();
    private readonly events = new EventQueue();
    private readonly random: SeededRandom;
    private readonly startMs = this.clock.nowMs();
    private readonly sites: readonly Site[];
    private readonly routers: readonly ConnectionRouter[];

    public constructor(private readonly options: ConnectionFleetOptions) {
        this.random = new SeededRandom(options.seed);
        this.sites = options.dataCentres.map(dataCentre => this.createSite(dataCentre));
        this.routers = this.sites.flatMap(({ routers }) => routers);
    }

    public run(): ReadonlyMap<string, readonly ConnectionCounts[]> {
        for (const router of this.routers) {
            this.events.add(this.startMs + this.random.next() * this.options.reportPeriodMs, () => this.report(router));
        }
        for (let ms = 0; ms < this.options.runMs; ms += 1) {
            if (ms % checkPeriodMs === 0) {
                this.sites.forEach(site => site.balancer.checkRouters());
            }
            this.sites.forEach(site => this.addCalls(site, ms));
            this.events.runUntil(this.clock.nowMs());
            this.clock.advance(1);
        }
        return new Map(this.sites.map(({ dataCentre, seconds }) => [dataCentre.name, seconds]));
    }

    private createSite(dataCentre: ModelDataCentre): Site {
        const routers = dataCentre.processorShares.map((share, index) => this.createRouter(dataCentre, share, index));
        const seconds: ConnectionCounts[] = [];
        const balancer = new Balancer({
            routerCount: routers.length,
            routersPerDataCentre: routers.length,
            isReady: index => {
                const isReady = !routers[index].neighbours.shouldLeaveBalancer;
                const second = this.getSecond(seconds);
                second.checks += 1;
                second.notReady += isReady ? 0 : 1;
                return isReady;
            },
        });
        return { dataCentre, routers, balancer, seconds };
    }

    private createRouter(dataCentre: ModelDataCentre, share: number, index: number): ConnectionRouter {
        const routerId = `${dataCentre.name}-${index}`;
        const processor = new RouterProcessor({ ...processorCosts, share }, this.events, this.startMs);
        const conditions = new Map<string, RouterCondition>();
        const settings = {
            daemonId: routerId,
            dataCentre: dataCentre.name,
            limits: { processorShare: share, memoryMb: 200, maxDescriptors: 1_000 },
            returnsRequests: false,
            yieldsToLargerRouters: this.options.yieldsToLargerRouters,
        };
        const { detector } = processor;
        const neighbours = new NeighbourLoads({
            getSettings: () => settings,
            load: detector,
            peers: { conditions },
            clock: this.clock,
            logger: new NoopLogger(),
        });
        return { routerId, dataCentre, processor, conditions, neighbours };
    }

    private report(sender: ConnectionRouter): void {
        const nowMs = this.clock.nowMs();
        const { dataCentre, processor, neighbours } = sender;
        const condition = describeRouter(
            {
                dataCentre: dataCentre.name,
                limits: { processorShare: processor.share, memoryMb: 0, maxDescriptors: 0 },
            },
            { loop: processor.detector.loop },
            neighbours.shouldLeaveBalancer,
            undefined,
        );
        for (const receiver of this.routers) {
            if (receiver !== sender) {
                this.events.add(nowMs + reportDelayMs, () => {
                    receiver.processor.charge("message", this.clock.nowMs());
                    receiver.conditions.set(sender.routerId, condition);
                });
            }
        }
        this.events.add(nowMs + this.options.reportPeriodMs, () => this.report(sender));
    }

    private addCalls(site: Site, ms: number): void {
        if (this.random.next() < site.dataCentre.getRate(ms) / msPerSecond) {
            this.getSecond(site.seconds).asked += 1;
            this.connect({ site, askedAtMs: this.clock.nowMs(), isRetry: false });
        }
    }

    private connect(call: Call): void {
        const { site, askedAtMs } = call;
        const router = site.routers[site.balancer.chooseRouter(0, Math.floor(this.random.next() * 2 ** 31))];
        const { processor } = router;
        const second = this.getSecond(site.seconds);
        second.attempts += 1;
        if (processor.unreadConnections >= computeAcceptBacklog(processor.share)) {
            second.failed += 1;
            this.addRetry(call, retryMs.connect);
            return;
        }
        processor.submitRead(this.clock.nowMs(), () => {
            if (this.random.next() < processor.detector.shedShare) {
                this.addRetry(call, retryMs.refused);
                return;
            }
            processor.submit("serve", this.clock.nowMs(), () => {
                this.getSecond(site.seconds).served += this.clock.nowMs() - askedAtMs <= patienceMs ? 1 : 0;
            });
        });
    }

    private addRetry(call: Call, delayMs: number): void {
        if (!call.isRetry) {
            const delay = delayMs * (1 + this.random.next());
            this.events.add(this.clock.nowMs() + delay, () => this.connect({ ...call, isRetry: true }));
        }
    }

    private getSecond(seconds: ConnectionCounts[]): ConnectionCounts {
        const index = Math.floor((this.clock.nowMs() - this.startMs) / msPerSecond);
        while (seconds.length <= index) {
            seconds.push({ asked: 0, served: 0, attempts: 0, failed: 0, notReady: 0, checks: 0 });
        }
        return seconds[index];
    }
}
