import { errAsync, okAsync } from "neverthrow";
import { ManualClock } from "../../src/base/clock.js";
import { NoopLogger } from "../../src/base/log.js";
import { toDisposable } from "../../src/base/lifecycle.js";
import { SeededRandom, type Random } from "../../src/base/random.js";
import { LynxarchError } from "../../src/base/errors.js";
import type { AttemptOutcome } from "../../src/gateway/attempt.js";
import type { RouterCondition } from "../../src/gateway/peers/peerMessage.js";
import type { RolloutOrder, RolloutRecords, RolloutStatus } from "../../src/gateway/rollouts/rolloutRecords.js";
import { Rollouts } from "../../src/gateway/rollouts/rollouts.js";
import type { Target } from "../../src/gateway/target.js";
import { NoExpiryGrace } from "../../src/decisions/health/recordExpiryPolicy.js";
import { TargetDirectory } from "../../src/gateway/targetDirectory.js";
import { EventQueue } from "./eventQueue.js";

/** What is wrong with a version that is rolled out. */
export type VersionFault =
    | "none"
    /** Sound, but one of its targets crashes with all that it has under way. */
    | "none-crash"
    /** Sound, but the routers are busy for a part of the duration, and all responses are measured later. */
    | "none-busy"
    | "fails-30"
    | "fails-12"
    /** From two fifths of the duration on. */
    | "fails-later"
    /** While its target has more than a few requests under way. */
    | "fails-under-load"
    | "fails-one-route"
    | "slow-all"
    /** A part of its answers. */
    | "slow-40"
    /** Breaks connections off. */
    | "breaks-30";

/** What fails beside the version. */
export type RolloutDisruption =
    | "none"
    /** The store answers nothing for a quarter of the duration, from a quarter on. */
    | "store-away"
    /** Writes take effect, and the answers of half of them are lost. */
    | "answers-lost"
    /** The router that wrote last ends, several times, and starts anew without what it knew. */
    | "deciders-end";

/** What a {@link RolloutModel} plays. */
export interface RolloutScenario {
    readonly routers: number;
    readonly requestsPerSecond: number;
    readonly targetsOfEach: number;
    readonly durationMs: number;
    /** From a router's report to its arrival at another one. */
    readonly reportDelayMs: number;
    readonly fault: VersionFault;
    readonly disruption: RolloutDisruption;
    readonly seed: number;
}

/** How a roll-out went. */
export interface RolloutOutcome {
    readonly state: RolloutStatus["state"];
    /** From the order; milliseconds, undefined if it did not end. */
    readonly endedAfterMs: number | undefined;
    /** Requests that the version got until the duration was over. */
    readonly exposed: number;
    /** The most that a bad version may get. */
    readonly mostExposed: number;
    /** Requests that it got later than the bound after its fiftieth bad answer. */
    readonly lateRequests: number;
    readonly reason: string;
}

const service = "engines";
const routes = [
    { name: "long", part: 0.4, medianMs: 600, outputs: 13 },
    { name: "middle", part: 0.35, medianMs: 350, outputs: 6 },
    { name: "short", part: 0.25, medianMs: 120, outputs: 19 },
] as const;
const exposure = { share: 0.1, slack: 50 };
const rollbackMs = 5_000;
const badAnswersOfBound = 50;
const msPerOutput = 40;
const spread = 0.45;
const slowFactor = 4;
const startsAtMs = 8_000;
const warmUpMs = 3_000;
const warmUpFactor = 2.5;
const storeMs = 20;
const stepMs = 5;
/** Requests at one target beyond which a version fails that fails under load. */
const heavyLoad = 3;

/** Parts of the duration at which the router that wrote last ends. */
const deciderEnds = [0.1, 0.3, 0.5, 0.65, 0.75] as const;
/** What a busy router adds to the time of each first output, and the parts of the duration between which routers are busy. */
const routerDelayMs = 400;
const busyFrom = 0.45;
const busyUntil = 0.65;
const awayFrom = 0.25;
const awayUntil = 0.5;

class ModelStoreError extends LynxarchError {
    public readonly code = "store-unavailable";
}

/** Plays one roll-out on a fleet of routers with a fake clock: the daemon's own decisions, and modelled targets and links. */
export class RolloutModel {
    private readonly clock = new ManualClock();
    private readonly events = new EventQueue();
    private readonly random: Random;
    private readonly directory: TargetDirectory;
    private readonly routers: Rollouts[] = [];
    private readonly ids: readonly string[];
    /** The router that wrote last. */
    private lastWriter = 0;
    private stored: RolloutStatus | undefined;
    private storedCount = 0;
    private exposed = 0;
    private asked = 0;
    private lateRequests = 0;
    private badAnswers = 0;
    private boundAtMs = Number.POSITIVE_INFINITY;
    private endedAtMs: number | undefined;
    private crashed: Target | undefined;

    public constructor(private readonly scenario: RolloutScenario) {
        this.random = new SeededRandom(scenario.seed);
        this.directory = new TargetDirectory({
            clock: this.clock,
            random: this.random,
            logger: new NoopLogger(),
            connectionLimits: { connectTimeoutMs: 1, mostAnswerBytes: 1 },
            expiryPolicy: new NoExpiryGrace(),
        });
        this.directory.applyConfiguration({
            version: 1,
            routes: [],
            services: [
                { name: service, maxConnections: 1, coldStartMs: 0, coldRequestsPerSecond: 0, engine: undefined },
            ],
            accounts: [],
            limits: {
                maxHeaderBytes: 1,
                maxBodyBytes: 1,
                headerTimeoutMs: 1,
                idleTimeoutMs: 1,
                tokensPerSecond: undefined,
            },
        });
        this.addTargets("v1");
        this.ids = [...Array(scenario.routers).keys()].map(index => `router-${index}`);
        this.ids.forEach((...[, index]) => this.routers.push(this.createRouter(index)));
    }

    public async run(): Promise<RolloutOutcome> {
        const { durationMs } = this.scenario;
        const endMs = startsAtMs + durationMs;
        this.events.add(startsAtMs, () => {
            this.addTargets("v2");
            this.routers.forEach(router => router.applyOrder(service, this.createOrder()));
        });
        if (this.scenario.disruption === "deciders-end") {
            deciderEnds.forEach(part => this.events.add(startsAtMs + durationMs * part, () => this.endDecider()));
        }
        if (this.scenario.fault === "none-crash") {
            this.events.add(startsAtMs + durationMs * 0.3, () => this.endTarget());
        }
        let owed = 0;
        while (this.clock.nowMs() < endMs) {
            this.events.runUntil(this.clock.nowMs());
            owed += (this.scenario.requestsPerSecond * stepMs) / 1_000;
            for (; owed >= 1; owed--) {
                this.send();
            }
            await Promise.resolve();
            await new Promise(resolve => process.nextTick(resolve));
            this.clock.advance(stepMs);
        }
        return {
            state: this.stored?.state ?? "running",
            endedAfterMs: this.endedAtMs === undefined ? undefined : this.endedAtMs - startsAtMs,
            exposed: this.exposed,
            mostExposed: exposure.share * this.asked + exposure.slack,
            lateRequests: this.lateRequests,
            reason: this.stored?.reason ?? "",
        };
    }

    private addTargets(version: string): void {
        const nowMs = this.clock.nowMs();
        for (let index = 0; index < this.scenario.targetsOfEach; index++) {
            const id = `${version}-${index}`;
            const entry = {
                id,
                service,
                address: "10.0.0.1:1",
                dataCentre: "a",
                version,
                slots: 64,
                state: "ready",
                coldLeftMs: 0,
                startedAtMs: nowMs,
            } as const;
            this.directory.applyChange({ kind: "target", id, entry });
        }
    }

    private createOrder(): RolloutOrder {
        return { service, version: "v2", durationMs: this.scenario.durationMs };
    }

    private endDecider(): void {
        const index = this.lastWriter;
        this.routers[index].dispose();
        this.routers[index] = this.createRouter(index);
        this.routers[index].applyOrder(service, this.createOrder());
        if (this.stored !== undefined) {
            this.routers[index].applyStatus(this.stored);
        }
    }

    private createRouter(index: number): Rollouts {
        const { ids } = this;
        const ownId = ids[index];
        const condition: RouterCondition = { dataCentre: "a", processorShare: 1, utilization: 0, isWithdrawn: false };
        const conditions = new Map(ids.filter(id => id !== ownId).map(id => [id, condition]));
        return new Rollouts({
            ownId,
            peers: { routers: { ownId, routerIds: ids, unheard: 0, isSettled: true }, conditions },
            directory: this.directory,
            records: this.createRecords(index),
            transport: {
                sendRollout: (routerId, message) => {
                    const receiver = this.routers[Number(routerId.split("-")[1])];
                    const atMs = this.clock.nowMs() + this.scenario.reportDelayMs;
                    this.events.add(atMs, () => receiver.applyMessage(ownId, message));
                },
            },
            clock: this.clock,
            random: this.random,
            setTimer: (ms, action) => {
                let isSet = true;
                this.events.add(this.clock.nowMs() + ms, () => isSet && action());
                return toDisposable(() => (isSet = false));
            },
            logger: new NoopLogger(),
            getLimit: () => exposure,
        });
    }

    private isStoreAway(): boolean {
        const part = this.elapsedPart;
        return this.scenario.disruption === "store-away" && part >= awayFrom && part < awayUntil;
    }

    private createRecords(index: number): RolloutRecords {
        const away = new ModelStoreError("away");
        return {
            read: () =>
                this.isStoreAway() ? errAsync(away) : okAsync({ status: this.stored, endOffset: this.storedCount }),
            write: (status, endOffset) => {
                if (this.isStoreAway()) {
                    return errAsync(away);
                }
                if (endOffset !== this.storedCount) {
                    return okAsync("superseded");
                }
                this.stored = status;
                this.storedCount += 1;
                this.lastWriter = index;
                this.endedAtMs ??= status.state === "running" ? undefined : this.clock.nowMs();
                const arrivesAtMs = this.clock.nowMs() + storeMs;
                this.events.add(arrivesAtMs, () => this.routers.forEach(router => router.applyStatus(status)));
                const isLost = this.scenario.disruption === "answers-lost" && this.random.next() < 0.5;
                return isLost ? errAsync(new ModelStoreError("no answer")) : okAsync("written");
            },
        };
    }

    private send(): void {
        const router = this.routers[Math.floor(this.random.next() ** 1.5 * this.routers.length)];
        const point = this.random.next();
        const route = routes[point < routes[0].part ? 0 : point < routes[0].part + routes[1].part ? 1 : 2];
        const versions = router.open(service, route.name);
        const open = this.directory.listOpen(service).filter(other => versions.isAllowed(other));
        const target = open[Math.floor(this.random.next() * open.length)];
        if (this.clock.nowMs() >= startsAtMs) {
            this.asked += 1;
        }
        if (target === undefined) {
            return;
        }
        versions.recordSent();
        target.ownRunning += 1;
        const sentAtMs = this.clock.nowMs();
        const isNew = target.entry.version === "v2";
        this.exposed += isNew ? 1 : 0;
        this.lateRequests += isNew && sentAtMs > this.boundAtMs ? 1 : 0;
        const expectedMs = route.medianMs * (0.5 + this.random.next());
        const isSlow = isNew && this.chooseSlow();
        const factor = this.computeFactor(isSlow, sentAtMs - target.incarnationSeenAtMs);
        const firstOutputMs = expectedMs * factor + this.computeRouterDelay();
        const pauseMs = msPerOutput * Math.exp(spread * 0.4 * this.pickNormal()) * (isSlow ? slowFactor : 1);
        const endsAtMs = sentAtMs + firstOutputMs + pauseMs * (route.outputs - 1);
        const isFaulty = isNew && this.chooseFault(route.name, target);
        this.events.add(endsAtMs, () => {
            target.ownRunning -= 1;
            const outcome = this.createOutcome(target, isFaulty);
            this.recordBad(isNew && (isSlow || outcome.kind !== "answered"));
            const times = { firstOutputMs, expectedMs, msPerOutput: pauseMs };
            router.observe({ target, route: route.name, outcome, times, sentAtMs });
        });
    }

    private get elapsedPart(): number {
        return (this.clock.nowMs() - startsAtMs) / this.scenario.durationMs;
    }

    private computeRouterDelay(): number {
        const isBusy = this.elapsedPart >= busyFrom && this.elapsedPart < busyUntil;
        return this.scenario.fault === "none-busy" && isBusy ? routerDelayMs : 0;
    }

    private computeFactor(isSlow: boolean, targetAgeMs: number): number {
        const usual = Math.exp(spread * this.pickNormal());
        return usual * (isSlow ? slowFactor : 1) * (targetAgeMs < warmUpMs ? warmUpFactor : 1);
    }

    private createOutcome(target: Target, isFaulty: boolean): AttemptOutcome {
        if (target === this.crashed || (isFaulty && this.scenario.fault === "breaks-30")) {
            return { kind: "broken", detail: "" };
        }
        return isFaulty
            ? { kind: "failed", answer: { status: 500, headers: {}, decoded: failedHead, body: Buffer.alloc(0) } }
            : { kind: "answered" };
    }

    private recordBad(isBad: boolean): void {
        this.badAnswers += isBad ? 1 : 0;
        if (isBad && this.badAnswers === badAnswersOfBound) {
            this.boundAtMs = this.clock.nowMs() + rollbackMs;
        }
    }

    private chooseSlow(): boolean {
        const { fault } = this.scenario;
        return fault === "slow-all" || (fault === "slow-40" && this.random.next() < 0.4);
    }

    private chooseFault(route: string, target: Target): boolean {
        const { fault, durationMs } = this.scenario;
        const part = this.random.next();
        switch (fault) {
            case "fails-30":
            case "breaks-30":
                return part < 0.3;
            case "fails-12":
                return part < 0.12;
            case "fails-later":
                return part < 0.3 && this.clock.nowMs() > startsAtMs + durationMs * 0.4;
            case "fails-under-load":
                return part < 0.3 && target.ownRunning > heavyLoad;
            case "fails-one-route":
                return part < 0.4 && route === "short";
            default:
                return false;
        }
    }

    private endTarget(): void {
        this.crashed = this.directory.listAll().find(target => target.entry.version === "v2" && target.ownRunning > 0);
        const id = this.crashed?.id;
        if (id !== undefined) {
            this.events.add(this.clock.nowMs() + 1_000, () =>
                this.directory.applyChange({ kind: "target", id, entry: undefined }),
            );
        }
    }

    /** A standard normal number (Box and Muller, 1958). */
    private pickNormal(): number {
        const radius = Math.sqrt(-2 * Math.log(1 - this.random.next()));
        return radius * Math.cos(2 * Math.PI * this.random.next());
    }
}

const failedHead = {
    requestId: undefined,
    isNotExecuted: false,
    isOtherTarget: false,
    isSigned: true,
    hasEncodedBody: false,
    isLeaving: false,
    pause: { kind: "none" },
} as const;
