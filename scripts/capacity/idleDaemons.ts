import { execFileSync } from "node:child_process";
import { setTimeout as sleep } from "node:timers/promises";
import { Fleet } from "../../test/fakes/fleet.js";
import { readCpuSeconds, readResidentMiB } from "./processFigures.js";

/** What daemons of a fleet take when no request comes. */
export interface IdleCost {
    readonly agents: number;
    readonly routers: number;
    /** Mean resident memory of a daemon of the role; MiB. */
    readonly routerMiB: number;
    readonly agentMiB: number;
    /** Mean share of a core; percent. */
    readonly routerCpuPercent: number;
    readonly agentCpuPercent: number;
}

/** The first half minute goes to compiling what runs often; it is no part of the steady cost. */
const settleMs = 45_000;
const measureMs = 30_000;
const bytesPerMiB = 1_048_576;

/** Resident memory of a Node.js process that does nothing; MiB. */
export function measureBareProcessMiB(): number {
    const print = "console.log(process.memoryUsage.rss())";
    return Number(execFileSync(process.execPath, ["-e", print]).toString()) / bytesPerMiB;
}

/** Starts a fleet, lets it settle, and reads its daemons' memory and processor time. */
export async function measureIdleDaemons(targetsPerDataCentre: number, routers: number): Promise<IdleCost> {
    const fleet = new Fleet({ dataCentres: 3, targetsPerDataCentre, routers, daemonFile: "dist/daemon/main.js" });
    try {
        await fleet.start();
        await sleep(settleMs);
        const before = fleet.daemons.map(daemon => readCpuSeconds(daemon.process.pid));
        await sleep(measureMs);
        const costs = fleet.daemons.map((daemon, index) => ({
            role: daemon.role,
            miB: readResidentMiB(daemon.process.pid),
            cpuPercent: ((readCpuSeconds(daemon.process.pid) - before[index]) / (measureMs / 1_000)) * 100,
        }));
        const getMean = (role: string, field: "miB" | "cpuPercent"): number => {
            const values = costs.filter(cost => cost.role === role).map(cost => cost[field]);
            return Number((values.reduce((sum, value) => sum + value, 0) / values.length).toFixed(2));
        };
        return {
            agents: fleet.agents.length,
            routers: fleet.routers.length,
            routerMiB: getMean("router", "miB"),
            agentMiB: getMean("agent", "miB"),
            routerCpuPercent: getMean("router", "cpuPercent"),
            agentCpuPercent: getMean("agent", "cpuPercent"),
        };
    } finally {
        await fleet.close();
    }
}
