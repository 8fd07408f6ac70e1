import { z } from "zod";

/** Schema of a daemon's entry in the roster stream. */
export const rosterEntrySchema = z.object({
    daemonId: z.string(),
    role: z.enum(["router", "agent"]),
    incarnation: z.number().int(),
    /** Host and port of the daemon's control API. */
    address: z.string(),
    dataCentre: z.string(),
    vmId: z.string(),
    targetName: z.string().optional(),
    services: z.array(z.string()).readonly(),
});

/** A daemon's entry in the roster. */
export type RosterEntry = Readonly<z.infer<typeof rosterEntrySchema>>;
