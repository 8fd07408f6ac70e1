/** A router that sheds a given part of its requests whatever its load, for measureGateway.ts. */
import { readFileSync } from "node:fs";
import sade from "sade";
import { HttpEngineInspector } from "../platform/httpEngineInspector.js";
import { PlatformHeaders } from "../platform/headers.js";
import { StoreClient } from "../platform/storeClient.js";
import { StoreFeed } from "../platform/storeFeed.js";
import { SystemClock } from "../src/base/clock.js";
import { RoarrLogger } from "../src/base/log.js";
import { SystemRandom } from "../src/base/random.js";
import { sleepOnTimer } from "../src/base/sleep.js";
import { GatewayDaemon } from "../src/gateway/gatewayDaemon.js";
import { parseGatewaySettings } from "../src/gateway/settings.js";

interface Options {
    readonly settings: string;
    readonly shed: number;
}

sade("measured-router", true)
    .option("--settings", "settings file")
    .option("--shed", "part of the requests to shed, 0 to 1", 0)
    .action((options: Options) => void run(options))
    .parse(process.argv);

async function run({ settings: file, shed }: Options): Promise<void> {
    const settings = parseGatewaySettings(() => readFileSync(file, "utf8"), file)._unsafeUnwrap();
    const clock = new SystemClock();
    const random = new SystemRandom();
    const logger = new RoarrLogger(settings.daemonId, settings.logLevel);
    const { drainMs, contactMs, applyMs, heartbeatMs } = settings;
    const { address } = settings.store;
    const daemon = new GatewayDaemon({
        settings,
        clock,
        random,
        logger,
        codec: new PlatformHeaders(),
        source: new StoreFeed({
            client: new StoreClient(address),
            clock,
            random,
            sleep: sleepOnTimer,
            logger,
            drainMs,
            contactMs,
            applyMs,
            heartbeatMs,
        }),
        engines: new HttpEngineInspector(clock),
        load: {
            shedShare: shed,
            shouldLeaveBalancer: false,
            loop: { delayMs: 0, utilization: 0, recentUtilization: 0 },
            start: () => undefined,
            dispose: () => undefined,
        },
        readinessPath: "/ready",
    });
    process.once("SIGTERM", () => process.exit(0));
    await daemon.start();
}
