import { decode, encode } from "@msgpack/msgpack";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { LynxarchError } from "../../base/errors.js";
import type { CrashEvidence } from "../../decisions/quarantine/crashLedger.js";

/** A report of crashes can't be decoded. */
export class CrashMessageError extends LynxarchError {
    public readonly code = "crash-message-invalid";
}

/** What routers report to one another of requests that end targets. */
export interface CrashMessage {
    readonly evidence: readonly CrashEvidence[];
    /** Digests of requests that a target answered as a whole, or that an operator released. */
    readonly cleared: readonly string[];
}

/** Version of this format; a message of another version has another code and is left aside. */
const messageCode = 33;
/** Entries of one message; keeps it below the size at which networks fragment datagrams many times over. */
export const maxEntries = 40;
const weightScale = 100;

const hash = z.number().int().min(0).max(0xffffffff);
const digest = z.string().regex(/^[0-9a-f]{32}$/);
const wireSchema = z.tuple([
    z.literal(messageCode),
    z.array(z.tuple([digest, hash, hash, z.number().int().min(1).max(weightScale)])).max(maxEntries),
    z.array(digest).max(maxEntries),
]);

/** Whether a datagram carries a report of crashes, by its first bytes: an array whose first entry is the code. */
export function isCrashDatagram(data: Uint8Array): boolean {
    return data.length > 1 && (data[0] & 0xf0) === 0x90 && data[1] === messageCode;
}

/** A message in MessagePack (https://msgpack.org). */
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

/** Decodes a message. Errors: no MessagePack, or of another form or version. */
export function decodeCrashMessage(data: Uint8Array): Result<CrashMessage, CrashMessageError> {
    let value: unknown;
    try {
        value = decode(data);
    } catch (cause) {
        return err(new CrashMessageError("no MessagePack", cause));
    }
    const parsed = wireSchema.safeParse(value);
    if (!parsed.success) {
        return err(new CrashMessageError("of an unknown form or version", parsed.error));
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
