import { SeededRandom } from "../src/base/random.js";
import { NoopEventRecorder } from "../src/events/fleetEvent.js";
import { defaultRouterOptions } from "../src/fleet/router/options.js";
import { RouterCore } from "../src/fleet/router/routerCore.js";
import type { RouterEffect } from "../src/fleet/routerMessages.js";
import { createDocument } from "./document.js";
import type { Scenario } from "./scenario.js";
import { scenarios } from "./scenarios.js";

/** How large the router under measurement is. */
export interface CostSize {
    readonly accounts: number;
    readonly agents: number;
    readonly waiting: number;
}

/** Sizes from today's to the target's; each changes one thing at a time first. */
export const costSizes: readonly CostSize[] = [
    { accounts: 16, agents: 16, waiting: 1_000 },
    { accounts: 16, agents: 16, waiting: 10_000 },
    { accounts: 16, agents: 64, waiting: 10_000 },
    { accounts: 350, agents: 64, waiting: 1_000 },
    { accounts: 350, agents: 64, waiting: 10_000 },
    { accounts: 350, agents: 64, waiting: 40_000 },
];

const cycles = 4_000;

/**
 * Processor time of one request's way through a router whose agents are all full: admitted and queued, another one of the
 * backlog placed, started, and ended. Microseconds; the least of three rounds, as other work only ever adds to it.
 */
export function measureCycleMicroseconds(size: CostSize): number {
    return Math.min(...[1, 2, 3].map(seed => runCycles(size, seed)));
}

function runCycles(size: CostSize, seed: number): number {
    const fleet = new FullFleet(size, seed);
    for (let index = 0; index < size.waiting; index++) {
        fleet.addRequest();
    }
    for (let index = 0; index < cycles / 4; index++) {
        fleet.runCycle();
    }
    const before = process.cpuUsage();
    for (let index = 0; index < cycles; index++) {
        fleet.runCycle();
    }
    const used = process.cpuUsage(before);
    return (used.user + used.system) / cycles;
}

/** A router whose agents hold as many offers as it may make; each cycle one starts, ends and is replaced. */
class FullFleet {
    private readonly core: RouterCore;
    private readonly offered: { readonly requestId: string; readonly agentId: string }[] = [];
    private nextOffer = 0;
    private count = 0;
    private nowMs = 0;

    public constructor(
        private readonly size: CostSize,
        seed: number,
    ) {
        const random = new SeededRandom(seed);
        this.core = new RouterCore("router-1", "a", defaultRouterOptions, new NoopEventRecorder(), random);
        this.core.handle({ type: "documentAccepted", offset: 0, document: createDocument(createScenario(size)) }, 0);
        for (let index = 1; index <= size.agents; index++) {
            this.sendReport(`t${index}`, 1);
        }
    }

    public addRequest(): void {
        this.count += 1;
        const promptTokens = 150;
        this.handleEffects(
            this.core.handle(
                {
                    type: "submitted",
                    request: {
                        id: `r${this.count}`,
                        clientAccount: `account-${this.count % this.size.accounts}`,
                        service: "model",
                        kind: "model",
                        idempotent: true,
                        idempotencyKey: undefined,
                        arrivedAtMs: this.nowMs,
                        deadlineAtMs: this.nowMs + 3_600_000,
                        promptTokens,
                        maxTokens: 60,
                        prefixHash: `prefix-${this.count % 50}`,
                        bodyBytes: promptTokens * 4,
                    },
                },
                this.nowMs,
            ),
        );
    }

    public runCycle(): void {
        this.nowMs += 1;
        this.addRequest();
        const offer = this.offered[this.nextOffer];
        this.nextOffer += 1;
        if (offer !== undefined) {
            this.handleEffects(this.core.handle({ type: "workStarted", ...offer }, this.nowMs));
            this.handleEffects(this.core.handle({ type: "workEnded", ...offer, cost: 400 }, this.nowMs));
        }
    }

    private handleEffects(effects: readonly RouterEffect[]): void {
        for (const effect of effects) {
            if (effect.type === "sendWork") {
                this.offered.push({ requestId: effect.requestId, agentId: effect.agentId });
            }
        }
    }

    private sendReport(agentId: string, sequence: number): void {
        const identity = { agentId, incarnation: 1, targetName: agentId, dataCentre: "a", services: ["model"] };
        const state = {
            phase: "serving",
            window: 16,
            running: 16,
            queued: 4,
            cold: false,
            serviceTimeMs: 2_000,
        } as const;
        const report = { identity, sequence, ...state, documentOffset: 0, counters: [], cachedPrefixes: [] };
        this.core.handle({ type: "agentReported", report }, this.nowMs);
    }
}

function createScenario(size: CostSize): Scenario {
    const [first] = scenarios;
    const names = Array.from({ length: size.accounts }, (...[, index]) => `account-${index}`);
    return {
        ...first!,
        agentDataCentres: Array.from({ length: size.agents }, () => "a"),
        routerDataCentres: ["a"],
        maxWaitingTotal: 1_000_000,
        accounts: names.map(name => ({
            name,
            size: "small",
            weight: 1,
            longShare: 0,
            prefixes: 0,
            prefixSkew: 1,
            load: [],
        })),
    };
}
