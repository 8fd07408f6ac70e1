import { z } from "zod";

const partSchema = z.object({ id: z.string().min(1).max(200), tokens: z.number().int().min(0) });

/** A request whose placement is explained; nothing of it is sent to a target. */
export const placementQuestionSchema = z.object({
    /** Name of a route of the configuration. */
    route: z.string().min(1),
    /** Name of a client account; undefined for a request without one. */
    account: z.string().min(1).optional(),
    /** In the order of the prompt; the last part is the request's own. */
    parts: z.array(partSchema).max(100),
    /** Undefined: the sum of the parts. */
    promptTokens: z.number().int().min(0).optional(),
    maxOutputTokens: z.number().int().min(0),
});

const candidateSchema = z.object({
    target: z.string(),
    version: z.string().optional(),
    dataCentre: z.string(),
    /** Milliseconds; the sum of the terms except `savedMs`. */
    costMs: z.number(),
    terms: z.record(z.string(), z.number()),
    /** Prompt tokens of the request that the target has to prefill. */
    newTokens: z.number(),
    /** Prompt tokens queued before the request. */
    queuedTokens: z.number(),
    running: z.number(),
    slots: z.number(),
    /** Cached tokens that the target would first copy from another one. */
    copy: z.object({ from: z.string(), tokens: z.number(), ms: z.number() }).optional(),
    /** Whether each request compares the target; false: only requests that draw it at random. */
    isAlwaysCompared: z.boolean(),
});

const excludedSchema = z.object({
    target: z.string(),
    reason: z.enum([
        "leaving",
        "pausing",
        "removed",
        "data-centre-out",
        "circuit-open",
        "cold",
        "version",
        "full-while-others-have-capacity",
    ]),
});

const decisionSchema = z.discriminatedUnion("decidedBy", [
    /** No target can receive the request. */
    z.object({ decidedBy: z.literal("none"), reason: z.string(), retryAfterMs: z.number() }),
    /** A request without prompt tokens is decided by its expected wait. */
    z.object({
        decidedBy: z.literal("wait"),
        isAdmitted: z.boolean(),
        maxWaitMs: z.number(),
        retryAfterMs: z.number().optional(),
    }),
    /** A recent denial still applies; the owner would not be asked. */
    z.object({ decidedBy: z.literal("memory"), reason: z.string(), deniedMs: z.number(), retryAfterMs: z.number() }),
    /** The owner of the engine would be asked, and decides. */
    z.object({
        decidedBy: z.literal("owner"),
        owner: z.string().optional(),
        /** Decision of this router if the owner did not reply. */
        withoutReply: z.object({
            isAdmitted: z.boolean(),
            reason: z.string().optional(),
            retryAfterMs: z.number().optional(),
        }),
    }),
]);

const explanationSchema = z.object({
    router: z.string(),
    dataCentre: z.string(),
    configurationVersion: z.number(),
    /** Age of the last read that covers all targets' records; milliseconds, undefined before the first. */
    targetsViewAgeMs: z.number().optional(),
    peers: z.number(),
    route: z.string(),
    objectiveMs: z.number(),
    account: z.string().optional(),
    promptTokens: z.number(),
    expectedOutputTokens: z.number(),
    /** Tokens that the request would be charged against the account's share. */
    chargedTokens: z.number(),
    share: z.object({
        share: z.number(),
        surplus: z.number(),
        /** Mean age of the other routers' sums; milliseconds. */
        sumsAgeMs: z.number(),
        /** Fraction of an engine's limit that the account may use. */
        maxUsage: z.number(),
    }),
    /** The services that the request may go to; a request draws its first one by weight. */
    services: z.array(
        z.object({
            service: z.string(),
            /** Probability that the service is tried first. */
            probability: z.number(),
            /** From the least cost on. */
            candidates: z.array(candidateSchema),
            excluded: z.array(excludedSchema),
        }),
    ),
    /** The candidate of least cost of the first service with candidates. */
    chosen: z
        .object({
            service: z.string(),
            target: z.string(),
            /** Expected time to the first event or, for a request without prompt tokens, until it starts; milliseconds. */
            expectedMs: z.number(),
            /** The same at a target without other load. */
            unloadedMs: z.number(),
        })
        .optional(),
    /** Limits of a prompt at the chosen engine. */
    bounds: z.object({ maxWaitMs: z.number(), maxUsage: z.number(), reason: z.string() }).optional(),
    decision: decisionSchema,
});

/** What is answered: an explanation, or why there is none. */
export const placementAnswerSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("explained"), explanation: explanationSchema }),
    z.object({ kind: z.literal("no-configuration") }),
    z.object({ kind: z.literal("unknown-route"), known: z.array(z.string()) }),
    z.object({ kind: z.literal("unknown-account") }),
]);

export type PlacementQuestion = z.output<typeof placementQuestionSchema>;
export type PlacementExplanation = z.output<typeof explanationSchema>;
export type PlacementAnswer = z.output<typeof placementAnswerSchema>;
export type ExplainedCandidate = z.output<typeof candidateSchema>;
export type ExcludedTarget = z.output<typeof excludedSchema>;
export type ExplainedDecision = z.output<typeof decisionSchema>;
