import { decode, encode } from "@msgpack/msgpack";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { LynxarchError } from "../../base/errors.js";
import type { PartEvidence } from "../../decisions/quarantine/partLedger.js";

/** A report on prompt parts can't be decoded. */
export class PartMessageError extends LynxarchError {
    public readonly code = "part-message-invalid";
}

/** Prompt parts of a service. */
export interface ServiceParts {
    readonly service: string;
    readonly parts: readonly string[];
}

/** Report between routers on prompt parts and the crashes of targets. */
export interface PartMessage {
    readonly evidence: readonly PartEvidence[];
    /** Parts of requests that received a complete response. */
    readonly cleared: readonly ServiceParts[];
    /** Parts that an operator released; nothing is known of them. */
    readonly released: readonly ServiceParts[];
}

/** Identifies the format version. Other versions use other codes, and their messages are dropped. */
const messageCode = 35;
/** Maximum number of parts in one entry. Prompts have only a few; more would only make the message large. */
export const maxParts = 32;
/** Maximum length of a part's id; characters. Longer ids are not tracked. */
export const maxPartIdLength = 64;
const maxEntries = 8;
const maxServiceLength = 128;
/** Weights are sent as whole hundredths. */
const weightScale = 100;
const maxWeight = 10;

const service = z.string().max(maxServiceLength);
const parts = z.array(z.string().min(1).max(maxPartIdLength)).max(maxParts);
const incarnation = z.number().int().min(0).max(0xffffffff);
const weight = z
    .number()
    .int()
    .min(1)
    .max(maxWeight * weightScale);
const entries = z.array(z.tuple([service, parts])).max(maxEntries);
const wireSchema = z.tuple([
    z.literal(messageCode),
    z.array(z.tuple([service, incarnation, weight, parts])).max(maxEntries),
    entries,
    entries,
]);

/** Whether a datagram is a report on prompt parts. Checks only its first two bytes: an array whose first entry is the code. */
export function isPartDatagram(data: Uint8Array): boolean {
    return data.length > 1 && (data[0] & 0xf0) === 0x90 && data[1] === messageCode;
}

/** Encodes a message in MessagePack (https://msgpack.org). */
export function encodePartMessage({ evidence, cleared, released }: PartMessage): Uint8Array {
    const wire: z.input<typeof wireSchema> = [
        messageCode,
        evidence.map(entry => [
            entry.service,
            entry.incarnation,
            Math.round(entry.weight * weightScale),
            [...entry.parts],
        ]),
        cleared.map(encodeEntry),
        released.map(encodeEntry),
    ];
    return encode(wire);
}

/** Decodes a message. Errors: not valid MessagePack, or a layout or version that is not supported. */
export function decodePartMessage(data: Uint8Array): Result<PartMessage, PartMessageError> {
    let value: unknown;
    try {
        value = decode(data);
    } catch (cause) {
        return err(new PartMessageError("part message is not valid MessagePack", cause));
    }
    const parsed = wireSchema.safeParse(value);
    if (!parsed.success) {
        return err(new PartMessageError("part message has an unsupported layout or version", parsed.error));
    }
    const [, rows, cleared, released] = parsed.data;
    return ok({
        evidence: rows.map(([entryService, entryIncarnation, entryWeight, entryParts]) => ({
            service: entryService,
            incarnation: entryIncarnation,
            weight: entryWeight / weightScale,
            parts: entryParts,
        })),
        cleared: cleared.map(decodeEntry),
        released: released.map(decodeEntry),
    });
}

function encodeEntry(entry: ServiceParts): [string, string[]] {
    return [entry.service, [...entry.parts]];
}

function decodeEntry([entryService, entryParts]: [string, string[]]): ServiceParts {
    return { service: entryService, parts: entryParts };
}
