import { createTRPCClient, httpLink } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import { Hono } from "hono";
import { ResultAsync } from "neverthrow";
import { z } from "zod";
import { LynxarchError } from "../../base/errors.js";
import { fetchBounded } from "../../control/boundedFetch.js";
import type { HeldRequest } from "../../decisions/quarantine/crashLedger.js";
import type { HeldParts } from "../../decisions/quarantine/partLedger.js";

/** An operator's call about held requests failed. */
export class HeldRequestsError extends LynxarchError {
    public readonly code = "held-requests-failed";
}

/** The held prompt parts of a router, on which the calls act. */
export interface HeldPromptParts {
    listHeld(): readonly HeldParts[];
    /** Allows requests with the part to run again at all routers; false: the part is not held. */
    release(service: string, part: string): boolean;
}

/** The held requests of a router, on which the calls act. */
export interface HeldRequests {
    readonly parts: HeldPromptParts;
    listHeld(): readonly HeldRequest[];
    /** Allows a request to run again at all routers; false: the router has no evidence against it. */
    release(digest: string): boolean;
}

const endpoint = "/held";
/** Time-out of a call; milliseconds. */
const callTimeoutMs = 3_000;
const digestSchema = z.string().regex(/^[0-9a-f]{32}$/, "must be 32 hexadecimal digits");
const heldSchema = z.array(
    z.object({
        digest: z.string(),
        prefixHash: z.number(),
        incarnations: z.array(z.number()).readonly(),
        leftMs: z.number(),
        holdMs: z.number(),
    }),
);

const partSchema = z.object({ service: z.string().min(1), part: z.string().min(1) });
const heldPartsSchema = z.array(
    z.object({ service: z.string(), parts: z.array(z.string()).readonly(), leftMs: z.number(), holdMs: z.number() }),
);

const trpc = initTRPC.context<{ readonly requests: HeldRequests }>().create();
const heldRouter = trpc.router({
    list: trpc.procedure.query(({ ctx }) => ctx.requests.listHeld()),
    release: trpc.procedure.input(digestSchema).mutation(({ ctx, input }) => ctx.requests.release(input)),
    listParts: trpc.procedure.query(({ ctx }) => ctx.requests.parts.listHeld()),
    releasePart: trpc.procedure
        .input(partSchema)
        .mutation(({ ctx, input }) => ctx.requests.parts.release(input.service, input.part)),
});

/** Creates the app through which operators list and release held requests. */
export function createHeldRequestsApp(requests: HeldRequests): Hono {
    const app = new Hono();
    app.all(`${endpoint}/*`, context =>
        fetchRequestHandler({
            endpoint,
            req: context.req.raw,
            router: heldRouter,
            createContext: () => ({ requests }),
        }),
    );
    return app;
}

/** Fetches the requests that a router holds. Errors: no response in time, or an invalid one. */
export function fetchHeldRequests(address: string): ResultAsync<readonly HeldRequest[], HeldRequestsError> {
    const response = createClient(address)
        .list.query(undefined, { signal: AbortSignal.timeout(callTimeoutMs) })
        .then(value => heldSchema.parse(value));
    return ResultAsync.fromPromise(response, toError);
}

/**
 * Releases a request at one router, which reports the release to the others; false: that router has no evidence against the request.
 * Errors: no response in time, or an invalid one.
 */
export function releaseHeldRequest(address: string, digest: string): ResultAsync<boolean, HeldRequestsError> {
    const response = createClient(address)
        .release.mutate(digest, { signal: AbortSignal.timeout(callTimeoutMs) })
        .then(value => z.boolean().parse(value));
    return ResultAsync.fromPromise(response, toError);
}

/** Fetches the prompt parts that a router holds. Errors: no response in time, or an invalid one. */
export function fetchHeldParts(address: string): ResultAsync<readonly HeldParts[], HeldRequestsError> {
    const response = createClient(address)
        .listParts.query(undefined, { signal: AbortSignal.timeout(callTimeoutMs) })
        .then(value => heldPartsSchema.parse(value));
    return ResultAsync.fromPromise(response, toError);
}

/**
 * Releases a prompt part at one router, which reports the release to the others; false: that router does not hold the part. Errors: no
 * response in time, or an invalid one.
 */
export function releaseHeldPart(
    address: string,
    service: string,
    part: string,
): ResultAsync<boolean, HeldRequestsError> {
    const response = createClient(address)
        .releasePart.mutate({ service, part }, { signal: AbortSignal.timeout(callTimeoutMs) })
        .then(value => z.boolean().parse(value));
    return ResultAsync.fromPromise(response, toError);
}

function createClient(address: string): ReturnType<typeof createTRPCClient<typeof heldRouter>> {
    return createTRPCClient<typeof heldRouter>({
        links: [httpLink({ url: `http://${address}${endpoint}`, fetch: fetchBounded })],
    });
}

function toError(cause: unknown): HeldRequestsError {
    return new HeldRequestsError(cause instanceof Error ? cause.message : String(cause), cause);
}
