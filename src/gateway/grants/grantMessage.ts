import { Decoder, Encoder } from "@msgpack/msgpack";
import { err, ok, type Result } from "neverthrow";
import { LynxarchError } from "../../base/errors.js";
import { isCount, isNonEmptyString } from "../wireValues.js";
import type { PromptPart } from "../wire.js";

/** A message about a grant can't be decoded. */
export class GrantMessageError extends LynxarchError {
    public readonly code = "grant-message-invalid";
}

/** A router asks the owner of an engine whether it may send a prompt there. */
export interface GrantRequest {
    readonly kind: "request";
    /** Unique among the sender's grants. */
    readonly grantId: number;
    /** The sender's start; grants of an earlier one are over. */
    readonly incarnation: number;
    /** 32-bit hash of the target's id. */
    readonly targetHash: number;
    /** Shared parts of the prompt, in its order. */
    readonly sharedParts: readonly PromptPart[];
    /** Tokens of the prompt that are not in shared parts. */
    readonly ownTokens: number;
    /** Tokens that the engine copies from another one. */
    readonly copiedTokens: number;
    /** Tokens that the request is expected to generate. */
    readonly outputTokens: number;
    /** 32-bit hash of the client account's name; 0 without one. */
    readonly accountHash: number;
    /** What the request counts against its account's share. */
    readonly chargedTokens: number;
    /** Longest wait behind others; milliseconds. */
    readonly maxWaitMs: number;
    /** Part of the engine's limit that may be in use. */
    readonly maxUsage: number;
    /** Span of the limit; milliseconds. */
    readonly windowMs: number;
    /** The request is sent whatever the answer says, so that it is booked in any case. */
    readonly isUnconditional: boolean;
}

/** The owner's answer. */
export interface GrantReply {
    readonly kind: "reply";
    readonly grantId: number;
    /** False while the owner does not know the target, so that it can't decide. */
    readonly isKnown: boolean;
    readonly granted: boolean;
    /** Prompt tokens that the engine has to read for the request. */
    readonly newTokens: number;
    /** Prompt tokens that wait there before it. */
    readonly queuedTokens: number;
    /** Part of the engine's reading time that is given away. */
    readonly usage: number;
    /** Part of the limit that the request might use: what it asked for, or less where its account has had much at the engine. */
    readonly maxUsage: number;
    /** When a request like this could be granted; milliseconds. */
    readonly retryAfterMs: number;
}

/** How far a granted request has come. */
export type GrantProgress = "started" | "ended" | "not-run";

/** The asking router reports a granted request's progress to the owner. */
export interface GrantReport {
    readonly kind: "report";
    readonly grantId: number;
    readonly incarnation: number;
    readonly targetHash: number;
    readonly progress: GrantProgress;
}

/** What routers send one another about grants. */
export type GrantMessage = GrantRequest | GrantReply | GrantReport;

/** Version of this format and the kind; a message of another version has other codes and is left aside. */
const codes = { request: 17, reply: 18, report: 19 } as const;
const progressCodes: readonly GrantProgress[] = ["started", "ended", "not-run"];
/** Real prompts have a few shared parts; more would only make the message large. */
const mostParts = 32;
const useScale = 1_000;

const longestPartId = 64;
const requestLength = 14;
const replyLength = 9;
const reportLength = 5;
// Made for each message, one would allocate its buffer anew.
const encoder = new Encoder();
const decoder = new Decoder();

/** Whether a datagram carries a message about a grant, by its first bytes: an array whose first entry is one of the codes. */
export function isGrantDatagram(data: Uint8Array): boolean {
    return data.length > 1 && (data[0] & 0xf0) === 0x90 && data[1] >= codes.request && data[1] <= codes.report;
}

/** A message in MessagePack (https://msgpack.org). */
export function encodeGrantMessage(message: GrantMessage): Uint8Array {
    return encoder.encode(toWire(message));
}

/** Decodes a message. Errors: no MessagePack, or of another form or version. */
export function decodeGrantMessage(data: Uint8Array): Result<GrantMessage, GrantMessageError> {
    let value: unknown;
    try {
        value = decoder.decode(data);
    } catch (cause) {
        return err(new GrantMessageError("no MessagePack", cause));
    }
    const message = Array.isArray(value) ? decodeWire(value) : undefined;
    return message === undefined ? err(new GrantMessageError("of an unknown form or version")) : ok(message);
}

function toWire(message: GrantMessage): readonly unknown[] {
    switch (message.kind) {
        case "request":
            return [
                codes.request,
                message.grantId,
                message.incarnation,
                message.targetHash,
                message.sharedParts.slice(0, mostParts).flatMap(part => [part.id, part.tokens]),
                Math.round(message.ownTokens),
                Math.round(message.copiedTokens),
                Math.round(message.outputTokens),
                message.accountHash,
                Math.round(message.chargedTokens),
                Math.round(message.maxWaitMs),
                Math.round(message.maxUsage * useScale),
                Math.max(1, Math.round(message.windowMs)),
                message.isUnconditional,
            ];
        case "reply":
            return [
                codes.reply,
                message.grantId,
                message.isKnown,
                message.granted,
                Math.round(message.newTokens),
                Math.round(message.queuedTokens),
                Math.round(message.usage * useScale),
                Math.round(message.maxUsage * useScale),
                Math.ceil(message.retryAfterMs),
            ];
        case "report":
            return [
                codes.report,
                message.grantId,
                message.incarnation,
                message.targetHash,
                progressCodes.indexOf(message.progress),
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
        default:
            return undefined;
    }
}

function decodeRequest(wire: readonly unknown[]): GrantRequest | undefined {
    const [, grantId, incarnation, targetHash] = wire;
    const sharedParts = decodeParts(wire[4]);
    const [ownTokens, copiedTokens, outputTokens, accountHash] = [wire[5], wire[6], wire[7], wire[8]];
    const [chargedTokens, mostWaitMs, mostUse, spanMs, isBinding] = [wire[9], wire[10], wire[11], wire[12], wire[13]];
    if (!isCount(grantId) || !isCount(incarnation) || !isCount(targetHash) || sharedParts === undefined) {
        return undefined;
    }
    if (!isCount(ownTokens) || !isCount(copiedTokens) || !isCount(outputTokens) || !isCount(accountHash)) {
        return undefined;
    }
    if (!isCount(chargedTokens) || !isCount(mostWaitMs) || !isCount(mostUse) || !isCount(spanMs) || spanMs < 1) {
        return undefined;
    }
    if (typeof isBinding !== "boolean") {
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
        maxWaitMs: mostWaitMs,
        maxUsage: mostUse / useScale,
        windowMs: spanMs,
        isUnconditional: isBinding,
    };
}

function decodeReply(wire: readonly unknown[]): GrantReply | undefined {
    const [, grantId, isKnown, granted, newTokens, aheadTokens, use, mostUse, retryAfterMs] = wire;
    if (!isCount(grantId) || typeof isKnown !== "boolean" || typeof granted !== "boolean") {
        return undefined;
    }
    if (!isCount(newTokens) || !isCount(aheadTokens)) {
        return undefined;
    }
    if (!isCount(use) || !isCount(mostUse) || !isCount(retryAfterMs)) {
        return undefined;
    }
    return {
        kind: "reply",
        grantId,
        isKnown,
        granted,
        newTokens,
        queuedTokens: aheadTokens,
        usage: use / useScale,
        maxUsage: mostUse / useScale,
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

/** Pairs of an id and a number; undefined where `value` is anything else. */
function decodeParts(value: unknown): readonly PromptPart[] | undefined {
    if (!Array.isArray(value) || value.length > mostParts * 2 || value.length % 2 !== 0) {
        return undefined;
    }
    const parts: PromptPart[] = [];
    for (let index = 0; index < value.length; index += 2) {
        const id: unknown = value[index];
        const tokens: unknown = value[index + 1];
        if (!isNonEmptyString(id) || id.length > longestPartId || !isCount(tokens)) {
            return undefined;
        }
        parts.push({ id, tokens });
    }
    return parts;
}
