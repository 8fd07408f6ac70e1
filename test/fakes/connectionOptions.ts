import { SystemClock } from "../../src/base/clock.js";
import { NoopLogger } from "../../src/base/log.js";
import { ClientConnectionGuard, type ClientConnectionLimits } from "../../src/http/clientConnectionGuard.js";
import type { HttpConnectionOptions } from "../../src/http/httpConnections.js";

/** Limits that the clients of most tests don't meet. */
export const ampleLimits: ClientConnectionLimits = {
    maxHeldBytes: 33_554_432,
    unreadTimeoutMs: 60_000,
    maxBytesWithoutRequest: 131_072,
};

/** Options of a server for tests. */
export function createConnectionOptions(limits = ampleLimits, maxConnections = 1_000): HttpConnectionOptions {
    return { guard: new ClientConnectionGuard(new SystemClock(), new NoopLogger(), () => limits), maxConnections };
}
