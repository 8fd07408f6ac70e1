import { createTRPCClient, httpLink } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import { Hono } from "hono";
import { ResultAsync } from "neverthrow";
import { z } from "zod";
import { LynxarchError } from "../../base/errors.js";
import { fetchBounded } from "../../control/boundedFetch.js";
import type { RolloutView } from "./rollouts.js";

/** An operator's call to list roll-outs failed. */
export class RolloutsApiError extends LynxarchError {
    public readonly code = "rollouts-failed";
}

const endpoint = "/rollouts";
const callTimeoutMs = 3_000;

const countsSchema = z.object({ requests: z.number(), failures: z.number(), timed: z.number(), slow: z.number() });
const viewSchema = z.array(
    z.object({
        service: z.string(),
        version: z.string(),
        state: z.enum(["ordered", "running", "complete", "rolled-back"]),
        step: z.enum(["canary", "watch", "ramp", "switch"]),
        reason: z.string(),
        ageMs: z.number(),
        durationMs: z.number(),
        verdict: z.enum(["bad", "good", "likely-good", "open"]).optional(),
        routes: z.array(z.object({ route: z.string(), candidate: countsSchema, baseline: countsSchema })),
    }),
);

const trpc = initTRPC.context<{ readonly listAll: () => readonly RolloutView[] }>().create();
const rolloutsRouter = trpc.router({ list: trpc.procedure.query(({ ctx }) => ctx.listAll()) });

/** Creates the HTTP app that lists roll-outs for operators. */
export function createRolloutsApp(listAll: () => readonly RolloutView[]): Hono {
    const app = new Hono();
    app.all(`${endpoint}/*`, context =>
        fetchRequestHandler({
            endpoint,
            req: context.req.raw,
            router: rolloutsRouter,
            createContext: () => ({ listAll }),
        }),
    );
    return app;
}

/** Fetches the roll-outs of the router at `address`. Errors: no response in time, or a response of another structure. */
export function fetchRollouts(address: string): ResultAsync<readonly RolloutView[], RolloutsApiError> {
    const client = createTRPCClient<typeof rolloutsRouter>({
        links: [httpLink({ url: `http://${address}${endpoint}`, fetch: fetchBounded })],
    });
    const response = client.list
        .query(undefined, { signal: AbortSignal.timeout(callTimeoutMs) })
        .then(value => viewSchema.parse(value).map(view => ({ ...view, verdict: view.verdict })));
    return ResultAsync.fromPromise(response, cause => {
        return new RolloutsApiError(cause instanceof Error ? cause.message : String(cause), cause);
    });
}
