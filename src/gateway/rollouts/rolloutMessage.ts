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

/** A router's report on a roll-out; always the full state, so that the next report replaces a lost one. */
export interface RolloutMessage {
    /** Increases with each start of the same router. */
    readonly incarnation: number;
    readonly service: string;
    readonly version: string;
    /** Age of the order: the longest time since the sender or a router that reported to it first saw the order; milliseconds. */
    readonly ageMs: number;
    readonly step: RolloutStep;
    /** The sender's running requests at targets of the old version. */
    readonly baselineRunning: number;
    /** Whether the sender has classified the version as bad, or received such a report. */
    readonly isBad: boolean;
    readonly evidence: RolloutEvidence;
}

/** Version code of this message format; messages with another code are rejected. */
const messageCode = 65;
/** Maximum rows in one message, so that its datagram is not split into many fragments. */
const maxRoutes = 60;
const maxTargets = 60;
/** No roll-out runs for longer, and dates are computed from ages; one year in milliseconds. */
const maxAgeMs = 31_536_000_000;
const steps = ["canary", "watch", "ramp", "switch"] as const satisfies readonly RolloutStep[];

const count = z.number().int().min(0);
const name = z.string().min(1).max(200);
const counts = z.tuple([count, count, count, count]);
const wireSchema = z.tuple([
    z.literal(messageCode),
    count,
    name,
    name,
    count.max(maxAgeMs),
    z.enum(steps),
    count,
    z.boolean(),
    z.array(z.tuple([name, counts, counts])).max(maxRoutes),
    z.array(z.tuple([z.number().int().min(0).max(0xffffffff), count])).max(maxTargets),
]);

/** Whether a datagram carries a roll-out report: its first bytes are a MessagePack array header and the message code. */
export function isRolloutDatagram(data: Uint8Array): boolean {
    return data.length > 1 && (data[0] & 0xf0) === 0x90 && data[1] === messageCode;
}

/** Encodes a message as MessagePack (https://msgpack.org). */
export function encodeRolloutMessage(message: RolloutMessage): Uint8Array {
    const { routes, disconnects } = message.evidence;
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
            .slice(0, maxRoutes)
            .map(({ route, candidate, baseline }) => [route, encodeCounts(candidate), encodeCounts(baseline)]),
        disconnects.slice(0, maxTargets).map(entry => [entry.targetHash, entry.disconnects]),
    ];
    return encode(wire);
}

/** Decodes a message. Errors: invalid MessagePack, or another structure or version. */
export function decodeRolloutMessage(data: Uint8Array): Result<RolloutMessage, RolloutMessageError> {
    let value: unknown;
    try {
        value = decode(data);
    } catch (cause) {
        return err(new RolloutMessageError("roll-out report is not valid MessagePack", cause));
    }
    const parsed = wireSchema.safeParse(value);
    if (!parsed.success) {
        return err(new RolloutMessageError("roll-out report has an unknown structure or version", parsed.error));
    }
    const [, incarnation, service, version, ageMs, step, baselineRunning, isBad, routes, disconnects] = parsed.data;
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
            disconnects: disconnects.map(([targetHash, count]) => ({ targetHash, disconnects: count })),
        },
    });
}

function encodeCounts({ requests, failures, timed, slow }: VersionCounts): z.input<typeof counts> {
    return [requests, failures, timed, slow];
}

function decodeCounts([requests, failures, timed, slow]: z.output<typeof counts>): VersionCounts {
    return { requests, failures, timed, slow };
}
