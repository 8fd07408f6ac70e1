import { BoundedExpiryGrace } from "../decisions/health/recordExpiryPolicy.js";
import { computeRemovalBounds } from "./drainBudget.js";
import type { FleetSource } from "./fleetSource.js";
import { ReadTurns } from "../http/readTurns.js";
import type { GatewaySettings } from "./settings.js";
import { TargetDirectory, type TargetDirectoryOptions } from "./targetDirectory.js";

/** Creates the directory of targets from a router's settings. `source`: reads the targets' records. */
export function createDirectory(
    settings: GatewaySettings,
    source: Pick<FleetSource, "health">,
    { clock, random, logger }: Pick<TargetDirectoryOptions, "clock" | "random" | "logger">,
): TargetDirectory {
    const { connectTimeoutMs, mostAnswerBytes } = settings;
    return new TargetDirectory({
        clock,
        random,
        logger,
        connectionLimits: { connectTimeoutMs, mostAnswerBytes, readTurns: new ReadTurns(clock) },
        expiryPolicy: new BoundedExpiryGrace(() => source.health.targets, computeRemovalBounds(settings)),
    });
}
