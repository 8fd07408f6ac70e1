import { decode, encode } from "@msgpack/msgpack";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { LynxarchError } from "../../base/errors.js";
import type { RolloutStep } from "../../decisions/rollouts/rolloutPlan.js";
import type { RolloutEvidence, VersionCounts } from "../../decisions/rollouts/versionEvidence.js";

/** A report on a roll-out can't be decoded. */
export class RolloutMessageError extends LynxarchError {
    public readonly code = "rollout-message-invalid";
}

/** What a router reports of a roll-out, whole each time: the next report makes up for a lost one. */
export interface RolloutMessage {
    /** Larger for later starts of the same router. */
    readonly incarnation: number;
    readonly service: string;
    readonly version: string;
    /** Since the sender first saw the order, or heard of it from others; milliseconds. */
    readonly ageMs: number;
    readonly step: RolloutStep;
    /** The sender's requests under way at the old version. */
    readonly baselineRunning: number;
    /** The sender knows that the version is bad. */
    readonly isBad: boolean;
    readonly evidence: RolloutEvidence;
}

/** Version of this format; a message of another version has another code and is left aside. */
const messageCode = 65;
/** Rows of one message; keep it below the size at which networks fragment datagrams many times over. */
const mostRoutes = 60;
const mostTargets = 60;
const steps = ["canary", "watch", "ramp", "switch"] as const satisfies readonly RolloutStep[];

const count = z.number().int().min(0);
const name = z.string().min(1).max(200);
const counts = z.tuple([count, count, count, count]);
const wireSchema = z.tuple([
    z.literal(messageCode),
    count,
    name,
    name,
    count,
    z.enum(steps),
    count,
    z.boolean(),
    z.array(z.tuple([name, counts, counts])).max(mostRoutes),
    z.array(z.tuple([z.number().int().min(0).max(0xffffffff), count])).max(mostTargets),
]);

/** Whether a datagram carries a report on a roll-out, by its first bytes: an array whose first entry is the code. */
export function isRolloutDatagram(data: Uint8Array): boolean {
    return data.length > 1 && (data[0] & 0xf0) === 0x90 && data[1] === messageCode;
}

/** A message in MessagePack (https://msgpack.org). */
export function encodeRolloutMessage(message: RolloutMessage): Uint8Array {
    const { routes, breaks } = message.evidence;
    const wire: z.input<typeof wireSchema> = [
        messageCode,
        message.incarnation,
        message.service,
        message.version,
        Math.round(message.ageMs),
        message.step,
        message.baselineRunning,
        message.isBad,
        routes
            .slice(0, mostRoutes)
            .map(({ route, candidate, baseline }) => [route, encodeCounts(candidate), encodeCounts(baseline)]),
        breaks.slice(0, mostTargets).map(entry => [entry.targetHash, entry.breaks]),
    ];
    return encode(wire);
}

/** Decodes a message. Errors: no MessagePack, or of another form or version. */
export function decodeRolloutMessage(data: Uint8Array): Result<RolloutMessage, RolloutMessageError> {
    let value: unknown;
    try {
        value = decode(data);
    } catch (cause) {
        return err(new RolloutMessageError("no MessagePack", cause));
    }
    const parsed = wireSchema.safeParse(value);
    if (!parsed.success) {
        return err(new RolloutMessageError("of an unknown form or version", parsed.error));
    }
    const [, incarnation, service, version, ageMs, step, baselineRunning, isBad, routes, breaks] = parsed.data;
    return ok({
        incarnation,
        service,
        version,
        ageMs,
        step,
        baselineRunning,
        isBad,
        evidence: {
            routes: routes.map(([route, candidate, baseline]) => ({
                route,
                candidate: decodeCounts(candidate),
                baseline: decodeCounts(baseline),
            })),
            breaks: breaks.map(([targetHash, targetBreaks]) => ({ targetHash, breaks: targetBreaks })),
        },
    });
}

function encodeCounts({ requests, failures, timed, slow }: VersionCounts): z.input<typeof counts> {
    return [requests, failures, timed, slow];
}

function decodeCounts([requests, failures, timed, slow]: z.output<typeof counts>): VersionCounts {
    return { requests, failures, timed, slow };
}
