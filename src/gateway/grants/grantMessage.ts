import { decode, encode } from "@msgpack/msgpack";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { LynxarchError } from "../../base/errors.js";
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
    readonly mostWaitMs: number;
    /** Part of the engine's limit that may be in use. */
    readonly mostUse: number;
    /** Span of the limit; milliseconds. */
    readonly spanMs: number;
    /** The request is sent whatever the answer says, so that it is booked in any case. */
    readonly isBinding: boolean;
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
    readonly aheadTokens: number;
    /** Part of the engine's reading time that is given away. */
    readonly use: number;
    /** Part of the limit that the request might use: what it asked for, or less where its account has had much at the engine. */
    readonly mostUse: number;
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

const count = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER);
const wireSchema = z.union([
    z.tuple([
        z.literal(codes.request),
        count,
        count,
        count,
        z.array(z.union([z.string().min(1).max(64), count])).max(mostParts * 2),
        count,
        count,
        count,
        count,
        count,
        count,
        count,
        count.min(1),
        z.boolean(),
    ]),
    z.tuple([z.literal(codes.reply), count, z.boolean(), z.boolean(), count, count, count, count, count]),
    z.tuple([z.literal(codes.report), count, count, count, count.max(progressCodes.length - 1)]),
]);

/** Whether a datagram carries a message about a grant, by its first bytes: an array whose first entry is one of the codes. */
export function isGrantDatagram(data: Uint8Array): boolean {
    return data.length > 1 && (data[0] & 0xf0) === 0x90 && data[1] >= codes.request && data[1] <= codes.report;
}

/** A message in MessagePack (https://msgpack.org). */
export function encodeGrantMessage(message: GrantMessage): Uint8Array {
    return encode(toWire(message));
}

/** Decodes a message. Errors: no MessagePack, or of another form or version. */
export function decodeGrantMessage(data: Uint8Array): Result<GrantMessage, GrantMessageError> {
    let value: unknown;
    try {
        value = decode(data);
    } catch (cause) {
        return err(new GrantMessageError("no MessagePack", cause));
    }
    const parsed = wireSchema.safeParse(value);
    return parsed.success
        ? decodeWire(parsed.data)
        : err(new GrantMessageError("of an unknown form or version", parsed.error));
}

function toWire(message: GrantMessage): z.input<typeof wireSchema> {
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
                Math.round(message.mostWaitMs),
                Math.round(message.mostUse * useScale),
                Math.max(1, Math.round(message.spanMs)),
                message.isBinding,
            ];
        case "reply":
            return [
                codes.reply,
                message.grantId,
                message.isKnown,
                message.granted,
                Math.round(message.newTokens),
                Math.round(message.aheadTokens),
                Math.round(message.use * useScale),
                Math.round(message.mostUse * useScale),
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

function decodeWire(wire: z.output<typeof wireSchema>): Result<GrantMessage, GrantMessageError> {
    switch (wire[0]) {
        case codes.request: {
            const sharedParts = decodeParts(wire[4]);
            return sharedParts === undefined
                ? err(new GrantMessageError("parts are not pairs of an id and a number"))
                : ok({
                      kind: "request",
                      grantId: wire[1],
                      incarnation: wire[2],
                      targetHash: wire[3],
                      sharedParts,
                      ownTokens: wire[5],
                      copiedTokens: wire[6],
                      outputTokens: wire[7],
                      accountHash: wire[8],
                      chargedTokens: wire[9],
                      mostWaitMs: wire[10],
                      mostUse: wire[11] / useScale,
                      spanMs: wire[12],
                      isBinding: wire[13],
                  });
        }
        case codes.reply:
            return ok({
                kind: "reply",
                grantId: wire[1],
                isKnown: wire[2],
                granted: wire[3],
                newTokens: wire[4],
                aheadTokens: wire[5],
                use: wire[6] / useScale,
                mostUse: wire[7] / useScale,
                retryAfterMs: wire[8],
            });
        case codes.report:
            return ok({
                kind: "report",
                grantId: wire[1],
                incarnation: wire[2],
                targetHash: wire[3],
                progress: progressCodes[wire[4]],
            });
    }
}

function decodeParts(values: readonly (string | number)[]): readonly PromptPart[] | undefined {
    const parts: PromptPart[] = [];
    for (let index = 0; index < values.length; index += 2) {
        const [id, tokens] = [values[index], values[index + 1]];
        if (typeof id !== "string" || typeof tokens !== "number") {
            return undefined;
        }
        parts.push({ id, tokens });
    }
    return parts;
}
