import { z } from "zod";
import { answerReportSchema, workClaimSchema } from "./answerReport.js";
import { hybridTimeSchema } from "../events/hybridTimeSchema.js";
import { refusalSchema } from "./schemas.js";

/**
 * Frames of an answer on its way from agent to router: one JSON object a line over an HTTP stream.
 * Chunks are numbered from 0 and the end carries their count, so that a cut answer is never taken for a whole one.
 */
export const workFrameSchema = z.discriminatedUnion("type", [
    /** The agent holds the request and has not started it. */
    z.object({ type: z.literal("queued"), report: answerReportSchema.optional() }),
    /** The request has been given to the target. */
    z.object({ type: z.literal("started") }),
    /** The request was never started here and never will be. */
    z.object({ type: z.literal("withdrawn") }),
    z.object({ type: z.literal("refused"), refusal: refusalSchema }),
    /** The key's home takes nothing new: the request goes on under this issued key, at the home that it names. */
    z.object({ type: z.literal("delegated"), idempotencyKey: z.string() }),
    /** Status and headers of a plain service's answer; models have status 200 and no headers. */
    z.object({ type: z.literal("head"), status: z.number().int(), headers: z.record(z.string(), z.string()) }),
    /** Models: one event's JSON text. Plain services: bytes as base64. */
    z.object({ type: z.literal("chunk"), sequence: z.number().int().nonnegative(), data: z.string() }),
    z.object({
        type: z.literal("end"),
        count: z.number().int().nonnegative(),
        cost: z.number().nonnegative(),
        report: answerReportSchema.optional(),
        time: hybridTimeSchema.optional(),
    }),
    /** The run failed; chunks already sent stand, and no end follows. */
    z.object({ type: z.literal("failed"), execution: z.enum(["not-run", "unknown", "ran"]), detail: z.string() }),
]);

/** One frame of an answer. */
export type WorkFrame = z.infer<typeof workFrameSchema>;

/** What a router sends with a request's body: everything but the body, as a JSON header. */
export const workEnvelopeSchema = z.object({
    requestId: z.string(),
    routerId: z.string(),
    attempt: z.number().int().positive(),
    time: hybridTimeSchema.optional(),
    /** What other agents gave the request's account, as far as the router knows. */
    claim: workClaimSchema.optional(),
    clientAccount: z.string(),
    service: z.string(),
    kind: z.enum(["model", "plain"]),
    idempotent: z.boolean(),
    idempotencyKey: z.string().optional(),
    /** An issued key of another home, for the case that this home takes nothing new. */
    delegateKey: z.string().optional(),
    /** Time left until the caller's deadline; milliseconds. */
    remainingMs: z.number(),
    promptTokens: z.number(),
    maxTokens: z.number().optional(),
    prefixHash: z.string().optional(),
    /** Plain services: the call to make. */
    method: z.string().optional(),
    path: z.string().optional(),
    headers: z.record(z.string(), z.string()).optional(),
});

/** What a router sends with a request's body. */
export type WorkEnvelope = z.infer<typeof workEnvelopeSchema>;

/** Name of the header that carries the envelope, as base64url JSON. */
export const envelopeHeader = "lynxarch-envelope";
/** Path on the agent that takes work. */
export const workPath = "/work";
