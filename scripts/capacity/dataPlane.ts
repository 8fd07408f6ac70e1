import { setTimeout as sleep } from "node:timers/promises";
import { sendChat } from "../../test/fakes/callers.js";
import { Fleet } from "../../test/fakes/fleet.js";
import { readCpuSeconds } from "./processFigures.js";

/** What requests and tokens cost the daemons on their way. */
export interface DataPlaneCost {
    readonly tokensPerRequest: number;
    readonly requestsPerSecond: number;
    readonly tokensPerSecond: number;
    readonly whole: number;
    readonly notWhole: number;
    /** Processor time of the one router over requests; microseconds. */
    readonly routerUsPerRequest: number;
    /** Processor time of all agents over requests; microseconds. */
    readonly agentUsPerRequest: number;
}

const settleMs = 4_000;
const warmUpMs = 5_000;
const measureMs = 15_000;
const usPerSecond = 1_000_000;
const msPerSecond = 1_000;

/** Streams chats through one router to three engines for a bounded time, with `callers` open at once. */
export async function measureDataPlane(tokensPerRequest: number, callers: number): Promise<DataPlaneCost> {
    const fleet = new Fleet({
        dataCentres: 3,
        targetsPerDataCentre: 1,
        routers: 1,
        daemonFile: "dist/daemon/main.js",
        document: { maxConcurrent: 64, coldLimit: 32 },
        engineArgs: ["--max-concurrent", "64", "--cold-limit", "32", "--cold-ms", "100", "--token-ms", "10"],
    });
    try {
        await fleet.start();
        await sleep(settleMs);
        const load = new Load(fleet.getRouter(0).callersUrl ?? "", tokensPerRequest);
        const running = load.run(callers);
        await sleep(warmUpMs);
        const before = { whole: load.whole, router: readAll(fleet, "router"), agent: readAll(fleet, "agent") };
        await sleep(measureMs);
        const requests = load.whole - before.whole;
        const cost = {
            tokensPerRequest,
            requestsPerSecond: Math.round((requests * msPerSecond) / measureMs),
            tokensPerSecond: Math.round((requests * tokensPerRequest * msPerSecond) / measureMs),
            routerUsPerRequest: Math.round(((readAll(fleet, "router") - before.router) * usPerSecond) / requests),
            agentUsPerRequest: Math.round(((readAll(fleet, "agent") - before.agent) * usPerSecond) / requests),
        };
        load.stop();
        await running;
        return { ...cost, whole: load.whole, notWhole: load.notWhole };
    } finally {
        await fleet.close();
    }
}

/** Callers who each send the next chat when the last is answered. */
class Load {
    public whole = 0;
    public notWhole = 0;
    private stopped = false;
    private sent = 0;

    public constructor(
        private readonly url: string,
        private readonly tokens: number,
    ) {}

    public async run(callers: number): Promise<void> {
        await Promise.all(Array.from({ length: callers }, () => this.runCaller()));
    }

    public stop(): void {
        this.stopped = true;
    }

    private async runCaller(): Promise<void> {
        while (!this.stopped) {
            const outcome = await sendChat(this.url, "department", `load ${this.sent++} [tokens:${this.tokens}]`);
            if (outcome.whole) {
                this.whole++;
            } else {
                this.notWhole++;
            }
        }
    }
}

function readAll(fleet: Fleet, role: "router" | "agent"): number {
    return fleet.daemons
        .filter(daemon => daemon.role === role)
        .reduce((sum, daemon) => sum + readCpuSeconds(daemon.process.pid), 0);
}
