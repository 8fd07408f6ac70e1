/** Number of port blocks for the workers of one test run, and of concurrent test runs with separate blocks. */
const blocksPerRun = 20;
export const maxConcurrentRuns = 5;
const blockCount = blocksPerRun * maxConcurrentRuns;

/** Environment variable that holds the index of this test run among the concurrent ones; see `testRunReservation.ts`. */
export const testRunVariable = "LYNXARCH_TEST_RUN";

/** Ports of one process; no worker of the same test run, or of a concurrent one, has any of them. */
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
    const run = Number(process.env[testRunVariable] ?? process.ppid % maxConcurrentRuns);
    const count = Math.floor(portCount / blockCount);
    return { firstPort: firstPort + (run * blocksPerRun + worker) * count, count };
}
