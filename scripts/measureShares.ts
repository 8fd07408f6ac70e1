/**
 * What it takes a router to sum up accounts' use over the fleet, by the number of routers and accounts: `npm run measure:shares`.
 * One JSON line a size, processor time of the whole process. A sum is made each 20 ms at most, while prompts arrive.
 */
import { AccountShares, type ReportedRouter } from "../src/decisions/shares/accountShares.js";

const sizes = [
    { routers: 4, accounts: 16 },
    { routers: 30, accounts: 30 },
    { routers: 100, accounts: 60 },
    { routers: 360, accounts: 350 },
];
const windowMs = 4_000;
/** Longer than a sum is kept, so that each step makes one. */
const stepMs = 25;
const tokensPerSecond = 1_000_000;
/** Rows of (router, account) that are summed for each size, so that all take about as long. */
const rowsPerSize = 4_000_000;
/** Steps before the measurement: the runtime compiles the code, and the window fills. */
const warmUpSteps = 200;

function createPeers(routers: number, accounts: readonly string[]): readonly ReportedRouter[] {
    return Array.from({ length: routers - 1 }, (...[, index]) => ({
        coveredMs: windowMs,
        ageMs: 10 + index,
        accounts: new Map(accounts.map(name => [name, { asked: 100_000, served: 50_000, recentlyServed: 20_000 }])),
    }));
}

for (const size of sizes) {
    const accounts = Array.from({ length: size.accounts }, (...[, index]) => `account-${index}`);
    const peers = createPeers(size.routers, accounts);
    const shares = new AccountShares(windowMs);
    const runSteps = (from: number, count: number): void => {
        for (let step = from; step < from + count; step++) {
            const nowMs = step * stepMs;
            shares.recordRequested(accounts[step % accounts.length], 900, nowMs);
            shares.recordServed(accounts[step % accounts.length], 400, nowMs);
            shares.computeUsage(accounts[0], peers, tokensPerSecond, nowMs);
        }
    };
    const steps = Math.ceil(rowsPerSize / (size.routers * size.accounts));
    runSteps(0, warmUpSteps);
    const before = process.cpuUsage();
    runSteps(warmUpSteps, steps);
    const { user, system } = process.cpuUsage(before);
    console.log(JSON.stringify({ ...size, microsecondsPerSum: Math.round((user + system) / steps) }));
}
