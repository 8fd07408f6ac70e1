import { createTRPCClient, httpLink } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import { Hono } from "hono";
import { ResultAsync } from "neverthrow";
import { z } from "zod";
import { LynxarchError } from "../../base/errors.js";
import { fetchBounded } from "../../control/boundedFetch.js";
import type { FleetSnapshot } from "../fleetSource.js";

/** A snapshot could not be fetched from a peer. */
export class SnapshotError extends LynxarchError {
    public readonly code = "handover-failed";
}

const endpoint = "/trpc";
/**
 * Time-out of a call; milliseconds. A peer in the same region responds within milliseconds. One that does not is taken as down, and the
 * next one is tried.
 */
const callTimeoutMs = 500;

const snapshotSchema = z.object({
    records: z.array(z.object({ topic: z.string(), key: z.string(), value: z.string() })).readonly(),
});

const trpc = initTRPC.context<{ readonly readSnapshot: () => FleetSnapshot | undefined }>().create();
const snapshotRouter = trpc.router({
    /** All records of the platform that the router holds; undefined until it has read them itself. */
    snapshot: trpc.procedure.query(({ ctx }) => ctx.readSnapshot()),
});

/** Creates the app that serves snapshots to routers that start while the platform's store is unavailable. */
export function createSnapshotApp(readSnapshot: () => FleetSnapshot | undefined): Hono {
    const app = new Hono();
    app.all(`${endpoint}/*`, context =>
        fetchRequestHandler({
            endpoint,
            req: context.req.raw,
            router: snapshotRouter,
            createContext: () => ({ readSnapshot }),
        }),
    );
    return app;
}

/** Fetches a peer's records; undefined: the peer has none. Errors: no response in time, or an invalid one. */
export function fetchSnapshot(address: string): ResultAsync<FleetSnapshot | undefined, SnapshotError> {
    const client = createTRPCClient<typeof snapshotRouter>({
        links: [httpLink({ url: `http://${address}${endpoint}`, fetch: fetchBounded })],
    });
    const response = client.snapshot
        .query(undefined, { signal: AbortSignal.timeout(callTimeoutMs) })
        .then(value => snapshotSchema.optional().parse(value));
    return ResultAsync.fromPromise(
        response,
        cause => new SnapshotError(cause instanceof Error ? cause.message : String(cause), cause),
    );
}
