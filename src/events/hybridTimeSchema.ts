import { z } from "zod";

/** A hybrid clock reading on its way between processes. */
export const hybridTimeSchema = z.object({ wallMs: z.number(), counter: z.number().int() });
