import { Decoder, Encoder } from "@msgpack/msgpack";
import { err, ok, type Result } from "neverthrow";
import { LynxarchError } from "../../base/errors.js";
import { isSlowdown } from "../../base/slowdown.js";
import { minSentUsage } from "../../decisions/admission/spareAllowance.js";
import { isCount, isNonEmptyString } from "../wireValues.js";
import type { PromptPart } from "../wire.js";

/** A message about a grant can't be decoded. */
export class GrantMessageError extends LynxarchError {
    public readonly code = "grant-message-invalid";
}

/** Asks the owner of an engine whether a prompt may be sent there. */
export interface GrantRequest {
    readonly kind: "request";
    /** Unique among the sender's grants. */
    readonly grantId: number;
    /** When the sender started; milliseconds since the epoch. Distinguishes its grants from those of an earlier start. */
    readonly incarnation: number;
    /** 32-bit hash of the target's id. */
    readonly targetHash: number;
    /** Shared parts of the prompt, in prompt order. */
    readonly sharedParts: readonly PromptPart[];
    /** Tokens of the prompt that are not in shared parts. */
    readonly ownTokens: number;
    /** Prompt tokens that the engine copies from another engine. */
    readonly copiedTokens: number;
    /** Tokens that the request is expected to generate. */
    readonly outputTokens: number;
    /** 32-bit hash of the client account's name; 0 without one. */
    readonly accountHash: number;
    /** Tokens that are charged against the account's share. */
    readonly chargedTokens: number;
    /** Maximum time to wait for prompts queued before this one; milliseconds. */
    readonly maxWaitMs: number;
    /**
     * Maximum fraction of the engine's limit that may be in use; above 1 it may exceed the limit. Below 0 the engine's owner has to add its
     * allowance before the request may use the engine.
     */
    readonly maxUsage: number;
    /** Window over which the limit applies; milliseconds, at least 1. */
    readonly windowMs: number;
    /** Whether the prompt is sent regardless of the owner's decision, so that the owner records it in any case. */
    readonly isUnconditional: boolean;
}

/** The owner's reply. */
export interface GrantReply {
    readonly kind: "reply";
    readonly grantId: number;
    /** Whether the owner has a record of the target. Without one it can't decide. */
    readonly isTargetKnown: boolean;
    readonly granted: boolean;
    /** Prompt tokens that the engine has to prefill for the request. */
    readonly newTokens: number;
    /** Prompt tokens queued at the engine before the request. */
    readonly queuedTokens: number;
    /** Fraction of the engine's prefill time in the window that is granted. */
    readonly usage: number;
    /**
     * Fraction of the limit that the request may use: that of the grant request, or less if the engine has already served its account
     * much. Without the engine's allowance, so that fractions of several requests and engines compare.
     */
    readonly maxUsage: number;
    /** Time until a similar request could be granted; milliseconds. */
    readonly retryAfterMs: number;
    /** Time per prompt token at the engine relative to the service's model; undefined if the owner does not estimate it. */
    readonly speedFactor?: number;
}

/** Progress of a granted request. */
export type GrantProgress = "started" | "ended" | "not-run";

/** Reports a granted request's progress to the owner. */
export interface GrantReport {
    readonly kind: "report";
    readonly grantId: number;
    readonly incarnation: number;
    readonly targetHash: number;
    readonly progress: GrantProgress;
    /** The engine's last report of how long its work takes, relative to the usual time; undefined if unknown. */
    readonly slowdown?: number;
}

/** Any message about grants between routers. */
export type GrantMessage = GrantRequest | GrantReply | GrantReport;

/**
 * Each code identifies the format version and the kind of message. Other versions use other codes, and their messages are dropped.
 * Reports with a slowdown and replies with a speed factor are one element longer than those without.
 */
const codes = { request: 17, reply: 18, report: 19, reportWithSlowdown: 20, replyWithSpeed: 21 } as const;
const progressCodes: readonly GrantProgress[] = ["started", "ended", "not-run"];
/** Maximum number of shared parts in a message. Prompts have only a few; more would only make the message large. */
const maxParts = 32;
/** Slowdowns and speed factors are sent in whole percent. */
const percentScale = 100;
/** Fractions are sent as whole thousandths. */
const usageScale = 1_000;

/** Maximum length of a part's id; characters. */
const maxPartIdLength = 64;
const requestLength = 14;
const replyLength = 9;
const reportLength = 5;
// Reused, since each new encoder allocates its own buffer.
const encoder = new Encoder();
const decoder = new Decoder();

/** Whether a datagram holds a message about a grant. Checks only its first two bytes: an array whose first entry is one of the codes. */
export function isGrantDatagram(data: Uint8Array): boolean {
    return data.length > 1 && (data[0] & 0xf0) === 0x90 && data[1] >= codes.request && data[1] <= codes.replyWithSpeed;
}

/** Encodes a message in MessagePack (https://msgpack.org). */
export function encodeGrantMessage(message: GrantMessage): Uint8Array {
    return encoder.encode(toWire(message));
}

/** Decodes a message. Errors: not valid MessagePack, or a layout or version that is not supported. */
export function decodeGrantMessage(data: Uint8Array): Result<GrantMessage, GrantMessageError> {
    let value: unknown;
    try {
        value = decoder.decode(data);
    } catch (cause) {
        return err(new GrantMessageError("grant message is not valid MessagePack", cause));
    }
    const message = Array.isArray(value) ? decodeWire(value) : undefined;
    return message === undefined
        ? err(new GrantMessageError("grant message has an unsupported layout or version"))
        : ok(message);
}

function toWire(message: GrantMessage): readonly unknown[] {
    switch (message.kind) {
        case "request":
            return [
                codes.request,
                message.grantId,
                message.incarnation,
                message.targetHash,
                message.sharedParts.slice(0, maxParts).flatMap(part => [part.id, part.tokens]),
                Math.round(message.ownTokens),
                Math.round(message.copiedTokens),
                Math.round(message.outputTokens),
                message.accountHash,
                Math.round(message.chargedTokens),
                Math.round(message.maxWaitMs),
                Math.round(message.maxUsage * usageScale),
                Math.max(1, Math.round(message.windowMs)),
                message.isUnconditional,
            ];
        case "reply":
            return [
                message.speedFactor === undefined ? codes.reply : codes.replyWithSpeed,
                message.grantId,
                message.isTargetKnown,
                message.granted,
                Math.round(message.newTokens),
                Math.round(message.queuedTokens),
                Math.round(message.usage * usageScale),
                Math.round(message.maxUsage * usageScale),
                Math.ceil(message.retryAfterMs),
                ...encodePercent(message.speedFactor),
            ];
        case "report":
            return [
                message.slowdown === undefined ? codes.report : codes.reportWithSlowdown,
                message.grantId,
                message.incarnation,
                message.targetHash,
                progressCodes.indexOf(message.progress),
                ...encodePercent(message.slowdown),
            ];
    }
}

function decodeWire(wire: readonly unknown[]): GrantMessage | undefined {
    switch (wire[0]) {
        case codes.request:
            return wire.length === requestLength ? decodeRequest(wire) : undefined;
        case codes.reply:
            return wire.length === replyLength ? decodeReply(wire) : undefined;
        case codes.report:
            return wire.length === reportLength ? decodeReport(wire) : undefined;
        case codes.reportWithSlowdown:
            return decodeReportWithSlowdown(wire);
        case codes.replyWithSpeed:
            return decodeReplyWithSpeed(wire);
        default:
            return undefined;
    }
}

function decodeRequest(wire: readonly unknown[]): GrantRequest | undefined {
    const [, grantId, incarnation, targetHash] = wire;
    const sharedParts = decodeParts(wire[4]);
    const [ownTokens, copiedTokens, outputTokens, accountHash] = [wire[5], wire[6], wire[7], wire[8]];
    const [chargedTokens, maxWaitMs, maxUsage, windowMs, isUnconditional] = [
        wire[9],
        wire[10],
        wire[11],
        wire[12],
        wire[13],
    ];
    if (!isCount(grantId) || !isCount(incarnation) || !isCount(targetHash) || sharedParts === undefined) {
        return undefined;
    }
    if (!isCount(ownTokens) || !isCount(copiedTokens) || !isCount(outputTokens) || !isCount(accountHash)) {
        return undefined;
    }
    if (!isCount(chargedTokens) || !isCount(maxWaitMs) || !isUsage(maxUsage) || !isCount(windowMs) || windowMs < 1) {
        return undefined;
    }
    if (typeof isUnconditional !== "boolean") {
        return undefined;
    }
    return {
        kind: "request",
        grantId,
        incarnation,
        targetHash,
        sharedParts,
        ownTokens,
        copiedTokens,
        outputTokens,
        accountHash,
        chargedTokens,
        maxWaitMs,
        maxUsage: maxUsage / usageScale,
        windowMs,
        isUnconditional,
    };
}

function decodeReply(wire: readonly unknown[]): GrantReply | undefined {
    const [, grantId, isKnown, granted, newTokens, queuedTokens, usage, maxUsage, retryAfterMs] = wire;
    if (!isCount(grantId) || typeof isKnown !== "boolean" || typeof granted !== "boolean") {
        return undefined;
    }
    if (!isCount(newTokens) || !isCount(queuedTokens)) {
        return undefined;
    }
    if (!isCount(usage) || !isUsage(maxUsage) || !isCount(retryAfterMs)) {
        return undefined;
    }
    return {
        kind: "reply",
        grantId,
        isTargetKnown: isKnown,
        granted,
        newTokens,
        queuedTokens,
        usage: usage / usageScale,
        maxUsage: maxUsage / usageScale,
        retryAfterMs,
    };
}

function decodeReport(wire: readonly unknown[]): GrantReport | undefined {
    const [, grantId, incarnation, targetHash, code] = wire;
    if (!isCount(grantId) || !isCount(incarnation) || !isCount(targetHash) || !isCount(code)) {
        return undefined;
    }
    const progress = progressCodes.at(code);
    return progress === undefined ? undefined : { kind: "report", grantId, incarnation, targetHash, progress };
}

/** Whether a decoded value is a fraction of the limit in whole thousandths, at least the lowest one that routers send. */
function isUsage(value: unknown): value is number {
    return Number.isSafeInteger(value) && (value as number) >= minSentUsage * usageScale;
}

function decodeReplyWithSpeed(wire: readonly unknown[]): GrantReply | undefined {
    const speedFactor = wire.length === replyLength + 1 ? decodePercent(wire[replyLength]) : undefined;
    const reply = speedFactor === undefined ? undefined : decodeReply(wire);
    return reply === undefined ? undefined : { ...reply, speedFactor };
}

function decodeReportWithSlowdown(wire: readonly unknown[]): GrantReport | undefined {
    const slowdown = wire.length === reportLength + 1 ? decodePercent(wire[reportLength]) : undefined;
    const report = slowdown === undefined ? undefined : decodeReport(wire);
    return report === undefined ? undefined : { ...report, slowdown };
}

function encodePercent(ratio: number | undefined): readonly number[] {
    return ratio === undefined ? [] : [Math.round(ratio * percentScale)];
}

/** Decodes a ratio in whole percent. Returns undefined for anything else, and for an absurd ratio. */
function decodePercent(value: unknown): number | undefined {
    const ratio = isCount(value) ? value / percentScale : 0;
    return isSlowdown(ratio) ? ratio : undefined;
}

/** Decodes a flat list of id and token count pairs. Returns undefined for anything else. */
function decodeParts(value: unknown): readonly PromptPart[] | undefined {
    if (!Array.isArray(value) || value.length > maxParts * 2 || value.length % 2 !== 0) {
        return undefined;
    }
    const parts: PromptPart[] = [];
    for (let index = 0; index < value.length; index += 2) {
        const id: unknown = value[index];
        const tokens: unknown = value[index + 1];
        if (!isNonEmptyString(id) || id.length > maxPartIdLength || !isCount(tokens)) {
            return undefined;
        }
        parts.push({ id, tokens });
    }
    return parts;
}
