import { z } from "zod";

/** One daemon as the log's roster stream knows it. */
export const rosterEntrySchema = z.object({
    daemonId: z.string(),
    role: z.enum(["router", "agent"]),
    incarnation: z.number().int(),
    /** Where its control API listens: host and port. */
    address: z.string(),
    dataCentre: z.string(),
    vmId: z.string(),
    targetName: z.string().optional(),
    services: z.array(z.string()).readonly(),
});

/** One daemon as the roster knows it. */
export type RosterEntry = Readonly<z.infer<typeof rosterEntrySchema>>;
