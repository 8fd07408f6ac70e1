import { once } from "node:events";
import { createServer, type Server } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { maxConcurrentRuns, testRunVariable } from "./portBlock.js";

/** Outside the ranges that {@link selectPortBlock} is used with, and below the range of ports that the kernel assigns. */
const firstReservationPort = 9_900;
const retryMs = 1_000;

async function openServer(port: number): Promise<Server | undefined> {
    const server = createServer();
    try {
        server.listen({ port, host: "127.0.0.1", exclusive: true });
        await once(server, "listening");
        return server;
    } catch (error) {
        if ((error as NodeJS.ErrnoException).code !== "EADDRINUSE") {
            throw error;
        }
        return undefined;
    }
}

/**
 * Reserves an index among the concurrent test runs of this machine for as long as the run lasts, so that no two of them use the same
 * ports. The reservation is a listening socket: the kernel releases it however the process ends. Waits while all indexes are taken.
 */
export default async function takeTestRun(): Promise<() => Promise<void>> {
    for (;;) {
        for (let run = 0; run < maxConcurrentRuns; run++) {
            const server = await openServer(firstReservationPort + run);
            if (server !== undefined) {
                process.env[testRunVariable] = String(run);
                return async () => {
                    server.close();
                    await once(server, "close");
                };
            }
        }
        await sleep(retryMs);
    }
}
