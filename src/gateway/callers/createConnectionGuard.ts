import type { Clock } from "../../base/clock.js";
import type { Logger } from "../../base/log.js";
import { ClientConnectionGuard } from "../../http/clientConnectionGuard.js";
import type { HttpConnectionOptions } from "../../http/httpConnections.js";
import type { GatewaySettings } from "../settings.js";

const bytesPerMb = 1_048_576;

/** Creates the guard for clients' connections to all addresses of a router; changed settings apply at once. */
export function createConnectionGuard(
    clock: Clock,
    logger: Logger,
    getSettings: () => GatewaySettings,
): ClientConnectionGuard {
    return new ClientConnectionGuard(clock, logger, () => {
        const { limits, clientLimits } = getSettings();
        const { heldInputShare, unreadTimeoutMs, maxBytesWithoutRequest } = clientLimits;
        return {
            maxHeldBytes: limits.memoryMb * bytesPerMb * heldInputShare,
            unreadTimeoutMs,
            maxBytesWithoutRequest,
        };
    });
}

/** Options of the servers for readiness, control and metrics. */
export function createManagementOptions(
    guard: ClientConnectionGuard,
    { limits, clientLimits }: GatewaySettings,
): HttpConnectionOptions {
    return { guard, maxConnections: Math.ceil(limits.maxDescriptors * clientLimits.managementConnectionShare) };
}
