import { decode, encode } from "@msgpack/msgpack";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { LynxarchError } from "../../base/errors.js";
import type { CrashEvidence } from "../../decisions/quarantine/crashLedger.js";

/** A report of crashes can't be decoded. */
export class CrashMessageError extends LynxarchError {
    public readonly code = "crash-message-invalid";
}

/** Report between routers on requests that crash targets. */
export interface CrashMessage {
    /** Crashes, each with the request that may have caused it. */
    readonly evidence: readonly CrashEvidence[];
    /** Digests of requests that received a complete response from a target, or that an operator released. */
    readonly cleared: readonly string[];
}

/** Identifies the format version. Other versions use other codes, and their messages are dropped. */
const messageCode = 33;
/** Maximum number of entries of each list in a message. Limits its size, so that networks don't split it into many fragments. */
export const maxEntries = 40;
/** Weights are sent as whole hundredths. */
const weightScale = 100;

const hash = z.number().int().min(0).max(0xffffffff);
const digest = z.string().regex(/^[0-9a-f]{32}$/);
const wireSchema = z.tuple([
    z.literal(messageCode),
    z.array(z.tuple([digest, hash, hash, z.number().int().min(1).max(weightScale)])).max(maxEntries),
    z.array(digest).max(maxEntries),
]);

/** Whether a datagram holds a report of crashes. Checks only its first two bytes: an array whose first entry is the code. */
export function isCrashDatagram(data: Uint8Array): boolean {
    return data.length > 1 && (data[0] & 0xf0) === 0x90 && data[1] === messageCode;
}

/** Encodes a message in MessagePack (https://msgpack.org). */
export function encodeCrashMessage({ evidence, cleared }: CrashMessage): Uint8Array {
    const wire: z.input<typeof wireSchema> = [
        messageCode,
        evidence.map(entry => [
            entry.digest,
            entry.prefixHash,
            entry.incarnation,
            Math.round(entry.weight * weightScale),
        ]),
        [...cleared],
    ];
    return encode(wire);
}

/** Decodes a message. Errors: not valid MessagePack, or a layout or version that is not supported. */
export function decodeCrashMessage(data: Uint8Array): Result<CrashMessage, CrashMessageError> {
    let value: unknown;
    try {
        value = decode(data);
    } catch (cause) {
        return err(new CrashMessageError("crash message is not valid MessagePack", cause));
    }
    const parsed = wireSchema.safeParse(value);
    if (!parsed.success) {
        return err(new CrashMessageError("crash message has an unsupported layout or version", parsed.error));
    }
    const [, rows, cleared] = parsed.data;
    const evidence = rows.map(([entryDigest, prefixHash, incarnation, weight]) => ({
        digest: entryDigest,
        prefixHash,
        incarnation,
        weight: weight / weightScale,
    }));
    return ok({ evidence, cleared });
}
