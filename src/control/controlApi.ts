import { initTRPC, TRPCError } from "@trpc/server";
import { z } from "zod";
import { documentSchema } from "../document/schema.js";
import { hybridTimeSchema } from "../events/hybridTimeSchema.js";
import { decodeCounters, encodeCounters, wireCountersSchema } from "./counters.js";
import type { AgentControlHost, ControlHost } from "./host.js";

const trpc = initTRPC.context<ControlHost>().create({
    // A stack would tell a stranger about the machine's paths.
    errorFormatter: ({ shape }) => ({ ...shape, data: { ...shape.data, stack: undefined } }),
});

const acceptedDocumentSchema = z.object({ offset: z.number().int(), document: documentSchema });

const exchangeRequestSchema = z.object({
    routerId: z.string().max(128),
    incarnation: z.number(),
    time: hybridTimeSchema,
    documentOffset: z.number().int(),
    acknowledgedSequence: z.number().int().optional(),
    claims: wireCountersSchema,
    document: acceptedDocumentSchema.optional(),
});

function getAgent(host: ControlHost): AgentControlHost {
    if (host.agent === undefined) {
        throw new TRPCError({ code: "NOT_FOUND", message: "this daemon is no agent" });
    }
    return host.agent;
}

/** The control API of every daemon; agents answer `exchange` and `withdraw` besides. */
export const controlRouter = trpc.router({
    status: trpc.procedure.query(({ ctx }) => ctx.getStatus()),
    events: trpc.procedure
        .input(z.object({ sinceSequence: z.number().int() }))
        .query(({ ctx, input }) => ctx.listEvents(input.sinceSequence)),
    shares: trpc.procedure.query(({ ctx }) => ctx.listShares()),
    document: trpc.procedure.query(({ ctx }) => ctx.getDocument()),
    roster: trpc.procedure.query(({ ctx }) => ctx.listRoster()),
    exchange: trpc.procedure.input(exchangeRequestSchema).mutation(({ ctx, input }) => {
        const claims = decodeCounters(input.claims);
        const { acknowledgedSequence, document } = input;
        const reply = getAgent(ctx).handleExchange({ ...input, acknowledgedSequence, document, claims });
        return { ...reply, report: { ...reply.report, counters: encodeCounters(reply.report.counters) } };
    }),
    withdraw: trpc.procedure
        .input(z.object({ requestId: z.string().max(128) }))
        .mutation(({ ctx, input }) => getAgent(ctx).withdrawWork(input.requestId)),
});

/** Type of the control API, for clients. */
export type ControlRouter = typeof controlRouter;
