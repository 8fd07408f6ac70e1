/** Number of port blocks for the workers of one test run, and of concurrent test runs with separate blocks. */
const blocksPerRun = 20;
const maxConcurrentRuns = 5;
const blockCount = blocksPerRun * maxConcurrentRuns;

/** Ports of one process; no worker of the same test run has any of them. */
export interface PortBlock {
    readonly firstPort: number;
    readonly count: number;
}

/**
 * Selects this process's block within a range. A port that was free when it was selected is listened on later; with blocks derived from
 * process ids alone, two workers could select the same port in between.
 */
export function selectPortBlock(firstPort: number, portCount: number): PortBlock {
    const worker = Number(process.env.VITEST_POOL_ID ?? process.pid) % blocksPerRun;
    const block = (process.ppid % maxConcurrentRuns) * blocksPerRun + worker;
    const count = Math.floor(portCount / blockCount);
    return { firstPort: firstPort + block * count, count };
}
