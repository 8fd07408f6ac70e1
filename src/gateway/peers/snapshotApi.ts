import { createTRPCClient, httpLink } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import { Hono } from "hono";
import { ResultAsync } from "neverthrow";
import { z } from "zod";
import { LynxarchError } from "../../base/errors.js";
import { fetchBounded } from "../../control/boundedFetch.js";
import type { FleetSnapshot } from "../fleetSource.js";

/** A peer did not hand over what it knows. */
export class SnapshotError extends LynxarchError {
    public readonly code = "handover-failed";
}

const endpoint = "/trpc";
/** A peer in the same region answers within milliseconds; one that does not is down, and the next one is asked. */
const callTimeoutMs = 500;

const snapshotSchema = z.object({
    records: z.array(z.object({ topic: z.string(), key: z.string(), value: z.string() })).readonly(),
});

const trpc = initTRPC.context<{ readonly readSnapshot: () => FleetSnapshot | undefined }>().create();
const handoverRouter = trpc.router({
    /** All records of the platform that the router holds; undefined while it has not read them itself. */
    snapshot: trpc.procedure.query(({ ctx }) => ctx.readSnapshot()),
});

/** Builds the app that hands over to routers that start while the platform's store is away. */
export function createSnapshotApp(readSnapshot: () => FleetSnapshot | undefined): Hono {
    const app = new Hono();
    app.all(`${endpoint}/*`, context =>
        fetchRequestHandler({
            endpoint,
            req: context.req.raw,
            router: handoverRouter,
            createContext: () => ({ readSnapshot }),
        }),
    );
    return app;
}

/** Asks a peer for its records; undefined: it has none itself. Errors: no answer in time, or one of another form. */
export function fetchSnapshot(address: string): ResultAsync<FleetSnapshot | undefined, SnapshotError> {
    const client = createTRPCClient<typeof handoverRouter>({
        links: [httpLink({ url: `http://${address}${endpoint}`, fetch: fetchBounded })],
    });
    const answer = client.snapshot
        .query(undefined, { signal: AbortSignal.timeout(callTimeoutMs) })
        .then(value => snapshotSchema.optional().parse(value));
    return ResultAsync.fromPromise(
        answer,
        cause => new SnapshotError(cause instanceof Error ? cause.message : String(cause), cause),
    );
}
