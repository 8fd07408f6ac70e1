import { z } from "zod";

export { rosterEntrySchema, type RosterEntry } from "../fleet/rosterEntry.js";

/** See {@link import("../fleet/entities.js").Refusal}. */
export const refusalSchema = z.object({
    reason: z.enum([
        "queue-full",
        "account-queue-full",
        "deadline",
        "no-target",
        "draining",
        "duplicate",
        "key-unknown",
        "key-required",
        "retry-budget",
        "target-failed",
        "stopping",
    ]),
    execution: z.enum(["not-run", "unknown", "ran"]),
    retryAfterMs: z.number().nonnegative().optional(),
    detail: z.string(),
});

/** What `lynxarch status` shows of one daemon. */
export const daemonStatusSchema = z.object({
    daemonId: z.string(),
    role: z.enum(["router", "agent"]),
    incarnation: z.number().int(),
    version: z.string(),
    environment: z.string(),
    dataCentre: z.string(),
    address: z.string(),
    documentOffset: z.number().int(),
    phase: z.string(),
    waiting: z.number().int(),
    running: z.number().int(),
    window: z.number().optional(),
    cold: z.boolean().optional(),
    uptimeMs: z.number(),
});

/** What `lynxarch status` shows of one daemon. */
export type DaemonStatus = z.infer<typeof daemonStatusSchema>;
