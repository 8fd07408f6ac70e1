import { z } from "zod";
import { toWireFigure } from "./counters.js";
import type { AgentReport, BriefReport, ServiceCounter } from "../fleet/entities.js";

/**
 * An agent's report as it goes along with an answer. Most of a report is the same each time (names, data centre, services)
 * and known from the exchange; with 50 answers a second a router would spend its whole allowance of control traffic on it.
 */
export const answerReportSchema = z.object({
    incarnation: z.number(),
    sequence: z.number().int(),
    phase: z.enum(["serving", "draining", "out", "leaving"]),
    window: z.number(),
    running: z.number(),
    queued: z.number(),
    cold: z.boolean().optional(),
    serviceMs: z.number(),
    offset: z.number(),
    /** The answered account's counters; left out when nothing was charged. */
    charged: z.number().optional(),
    refunded: z.number().optional(),
    lift: z.number().optional(),
});

/** What other agents gave a request's account at its service, as it goes along with the request. */
export const workClaimSchema = z.object({ charged: z.number(), refunded: z.number(), lift: z.number() });

/** See {@link workClaimSchema}. */
export type WorkClaim = z.infer<typeof workClaimSchema>;

/** Takes out the names, which the request carries itself. */
export function encodeWorkClaim(counter: ServiceCounter): WorkClaim {
    return {
        charged: toWire(counter.charged) ?? 0,
        refunded: toWire(counter.refunded) ?? 0,
        lift: toWire(counter.lift) ?? 0,
    };
}

/** A report as it goes along with an answer. */
export type AnswerReport = z.infer<typeof answerReportSchema>;

/** Takes out what the receiver knows. */
export function encodeAnswerReport(report: BriefReport): AnswerReport {
    const [counter] = report.counters;
    return {
        incarnation: report.identity.incarnation,
        sequence: report.sequence,
        phase: report.phase,
        window: report.window,
        running: report.running,
        queued: report.queued,
        cold: report.cold ? true : undefined,
        serviceMs: Math.round(report.serviceTimeMs),
        offset: report.documentOffset,
        charged: toWire(counter?.charged),
        refunded: toWire(counter?.refunded),
        lift: toWire(counter?.lift),
    };
}

/** Puts a report together with what is known of the agent; undefined when that is of another incarnation. */
export function decodeAnswerReport(
    report: AnswerReport,
    known: AgentReport,
    service: string,
    clientAccount: string,
): AgentReport | undefined {
    if (known.identity.incarnation !== report.incarnation) {
        return undefined;
    }
    const { charged, refunded = 0, lift = 0 } = report;
    return {
        ...known,
        sequence: report.sequence,
        phase: report.phase,
        window: report.window,
        running: report.running,
        queued: report.queued,
        cold: report.cold ?? false,
        serviceTimeMs: report.serviceMs,
        documentOffset: report.offset,
        counters: charged === undefined ? [] : [{ service, clientAccount, charged, refunded, lift }],
    };
}

function toWire(value: number | undefined): number | undefined {
    return value === undefined || value === 0 ? undefined : toWireFigure(value);
}
