import { hashFast } from "../../src/base/hash.js";
import { SeededRandom } from "../../src/base/random.js";
import { checkPromptAdmission } from "../../src/decisions/admission/promptAdmission.js";
import {
    choosePromptPlacement,
    type PromptCandidate,
    type PromptPlacement,
} from "../../src/decisions/placement/promptPlacement.js";
import { AccountShares, type HeardRouter, type RouterAccounts } from "../../src/decisions/shares/accountShares.js";
import { IdleShare } from "../../src/decisions/shares/idleShare.js";
import { ChunkedEngine, type ChunkedEngineOptions, type EngineStream } from "./chunkedEngine.js";

const objectiveMs = 800;
const windowMs = 4_000;
const eventCount = 30;
const timeLeftMs = 8_000;
const msPerSecond = 1_000;

/** What one account sends. */
export interface AccountLoad {
    readonly account: string;
    /** Requests a second. */
    readonly rate: number;
    /** Mean prompt. */
    readonly promptTokens: number;
    /** A flood sends `rate` within this time alone; always without it. */
    readonly fromMs?: number;
    readonly toMs?: number;
}

/** A fleet of engines behind routers, and what happens to it. */
export interface PromptFleetOptions {
    readonly engine: ChunkedEngineOptions;
    readonly pauseObjectiveMs: number;
    readonly engineCount: number;
    readonly routerCount: number;
    /** Each router hears the others' sums this often. */
    readonly peerPeriodMs: number;
    /** What operators promise, as a part of what the engines read. */
    readonly promisedShare: number;
    /** Engines that take no more requests from a time on. */
    readonly lost?: { readonly count: number; readonly atMs: number };
    /** News that is never late, to tell what late news costs. */
    readonly exactNews?: ExactNews;
    readonly runMs: number;
    readonly seed: number;
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
}

/** What callers got. */
export interface FleetOutcome {
    /** By account, a row for each second. */
    readonly seconds: ReadonlyMap<string, readonly AccountSecond[]>;
    readonly ended: readonly EngineStream[];
}

/** What one router believes. */
interface Router {
    readonly shares: AccountShares;
    readonly idle: IdleShare;
    /** What it told the others last. */
    told: RouterAccounts | undefined;
    toldAtMs: number;
    /** Prompt tokens that wait at each engine, as it heard last, with its own since. */
    waiting: number[];
}

/** An engine as a router sees it. */
interface Candidate extends PromptCandidate {
    readonly engine: ChunkedEngine;
    readonly index: number;
}

/** Plays accounts' requests through the routers' own decisions; a refused one does not come back. */
export function runPromptFleet(options: PromptFleetOptions, loads: readonly AccountLoad[]): FleetOutcome {
    return new PromptFleet(options, loads).run();
}

/** Sum of the values. */
export function computeSum(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0);
}

/** Whether the stream kept its objectives. */
export function isInTime(stream: EngineStream, pauseObjectiveMs: number): boolean {
    const firstMs = (stream.firstAtMs ?? Number.POSITIVE_INFINITY) - stream.sentAtMs;
    return firstMs <= objectiveMs && stream.longestPauseMs <= pauseObjectiveMs;
}

class PromptFleet {
    private readonly random: SeededRandom;
    private readonly engines: readonly ChunkedEngine[];
    private readonly routers: readonly Router[];
    private readonly seconds: ReadonlyMap<string, AccountSecond[]>;

    public constructor(
        private readonly options: PromptFleetOptions,
        private readonly loads: readonly AccountLoad[],
    ) {
        this.random = new SeededRandom(options.seed);
        this.engines = Array.from({ length: options.engineCount }, () => new ChunkedEngine(options.engine));
        this.routers = Array.from({ length: options.routerCount }, () => ({
            shares: new AccountShares(windowMs),
            idle: new IdleShare(),
            told: undefined,
            toldAtMs: 0,
            waiting: this.engines.map(() => 0),
        }));
        const secondCount = Math.ceil(options.runMs / msPerSecond);
        this.seconds = new Map(
            loads.map(({ account }) => [
                account,
                Array.from({ length: secondCount }, () => ({ asked: 0, served: 0, requests: 0, admitted: 0 })),
            ]),
        );
    }

    public run(): FleetOutcome {
        for (let nowMs = 0; nowMs < this.options.runMs; nowMs++) {
            this.engines.forEach(engine => engine.advance(nowMs));
            this.sendNews(nowMs);
            for (const load of this.loads) {
                const isOn = nowMs >= (load.fromMs ?? 0) && nowMs < (load.toMs ?? Number.POSITIVE_INFINITY);
                if (isOn && this.random.next() < load.rate / msPerSecond) {
                    this.offer(load, nowMs);
                }
            }
        }
        return { seconds: this.seconds, ended: this.engines.flatMap(engine => engine.ended) };
    }

    /**
     * Each router speaks once in a period, at a moment of its own. For simplicity it then hears of all that waits at engines, and
     * of accounts what each of the others told at its own moment.
     */
    private sendNews(nowMs: number): void {
        const { peerPeriodMs, routerCount } = this.options;
        for (const [index, router] of this.routers.entries()) {
            const phaseMs = Math.floor((index * peerPeriodMs) / routerCount);
            if (nowMs % peerPeriodMs === phaseMs) {
                router.toldAtMs = nowMs;
                router.told = router.shares.listOwn(nowMs);
                router.waiting = this.engines.map(engine => engine.waitingTokens);
            }
        }
    }

    private listHeard(router: Router, nowMs: number): readonly HeardRouter[] {
        const others = this.routers.filter(other => other !== router);
        if (this.options.exactNews?.accounts === true) {
            return others.map(other => ({ ...other.shares.listOwn(nowMs), ageMs: 0 }));
        }
        return others.flatMap(({ told, toldAtMs }) =>
            told === undefined ? [] : [{ ...told, ageMs: nowMs - toldAtMs }],
        );
    }

    private offer({ account, promptTokens: meanTokens }: AccountLoad, nowMs: number): void {
        const router = this.chooseRouter();
        const promptTokens = Math.round(meanTokens * (0.2 + 2 * this.random.next() ** 2));
        const second = this.seconds.get(account)![Math.floor(nowMs / msPerSecond)];
        second.asked += promptTokens;
        second.requests += 1;
        router.shares.recordAsked(account, promptTokens, nowMs);
        const placement = this.selectEngine(router, promptTokens, nowMs);
        if (placement !== undefined && this.isAdmitted(router, account, placement, nowMs)) {
            second.admitted += 1;
            second.served += promptTokens;
            router.shares.recordServed(account, promptTokens, nowMs);
            router.waiting[placement.candidate.index] += promptTokens;
            placement.candidate.engine.submit(account, promptTokens, eventCount, nowMs);
        }
    }

    private selectEngine(router: Router, promptTokens: number, nowMs: number): PromptPlacement<Candidate> | undefined {
        const candidates = this.listCandidates(router, nowMs);
        const idle = candidates.filter(candidate => candidate.waitingTokens === 0).length;
        router.idle.observe(idle, candidates.length, nowMs);
        return choosePromptPlacement(candidates, {
            parts: [{ id: `own-${nowMs}`, tokens: promptTokens }],
            promptTokens,
            dataCentre: "a",
            tokensPerMs: this.options.engine.tokensPerMs,
            transfer: undefined,
        });
    }

    private isAdmitted(
        router: Router,
        account: string,
        { tokensAhead, newTokens }: PromptPlacement<Candidate>,
        nowMs: number,
    ): boolean {
        const { engine, pauseObjectiveMs } = this.options;
        const heard = this.listHeard(router, nowMs);
        return checkPromptAdmission({
            expectedMs: tokensAhead / engine.tokensPerMs,
            aloneMs: newTokens / engine.tokensPerMs,
            objectiveMs,
            pauseObjectiveMs,
            timeLeftMs,
            shareUse: router.shares.computeUse(account, heard, this.promisedTokensPerSecond, nowMs),
            idleShare: router.idle.current,
        }).admitted;
    }

    private get promisedTokensPerSecond(): number {
        const { engineCount, engine, promisedShare } = this.options;
        return engineCount * engine.tokensPerMs * msPerSecond * promisedShare;
    }

    private chooseRouter(): Router {
        const { routers } = this;
        return routers.length === 1 ? routers[0] : routers[Math.floor(this.random.next() * routers.length)];
    }

    private listCandidates(router: Router, nowMs: number): readonly Candidate[] {
        const { lost, exactNews } = this.options;
        const hasExactLoad = this.routers.length === 1 || exactNews?.load === true;
        const lostCount = lost === undefined || nowMs < lost.atMs ? 0 : lost.count;
        return this.engines
            .map((engine, index) => ({
                id: `e${index}`,
                idHash: hashFast(`e${index}`),
                dataCentre: "a",
                waitingTokens: hasExactLoad ? engine.waitingTokens : router.waiting[index],
                running: engine.load,
                slots: 64,
                hasPart: () => false,
                engine,
                index,
            }))
            .slice(lostCount);
    }
}
