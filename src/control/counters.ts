import { z } from "zod";
import type { ServiceCounter } from "../fleet/entities.js";

/** Counters lose what lies below a tenth of a unit when they travel; both ends of every comparison lose the same. */
const stepsPerUnit = 10;

/**
 * Service counters as they travel: by service, by account, then charged, refunded and lift. Under load every account's
 * counter changes between two exchanges; written out with their names they were most of the control traffic.
 */
export const wireCountersSchema = z.record(
    z.string(),
    z.record(z.string(), z.tuple([z.number().nonnegative(), z.number().nonnegative(), z.number().nonnegative()])),
);

/** See {@link wireCountersSchema}. */
export type WireCounters = z.infer<typeof wireCountersSchema>;

/** A figure rounded down: a counter on its way must stay a lower bound of the true one. */
export function toWireFigure(value: number): number {
    return Math.floor(value * stepsPerUnit) / stepsPerUnit;
}

/** Writes counters in the short form. */
export function encodeCounters(counters: readonly ServiceCounter[]): WireCounters {
    const encoded: WireCounters = {};
    for (const { service, clientAccount, charged, refunded, lift } of counters) {
        (encoded[service] ??= {})[clientAccount] = [toWireFigure(charged), toWireFigure(refunded), toWireFigure(lift)];
    }
    return encoded;
}

/** Reads counters in the short form. */
export function decodeCounters(encoded: WireCounters): readonly ServiceCounter[] {
    return Object.entries(encoded).flatMap(([service, accounts]) =>
        Object.entries(accounts).map(([clientAccount, [charged, refunded, lift]]) => ({
            service,
            clientAccount,
            charged,
            refunded,
            lift,
        })),
    );
}
