import { decode, encode } from "@msgpack/msgpack";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { LynxarchError } from "../../base/errors.js";
import type { StreamEntry } from "../../decisions/versions/streamVersionTable.js";
import type { SeenVersions } from "../../decisions/versions/versionHistory.js";

/** A message about the versions of streams can't be decoded. */
export class StreamVersionMessageError extends LynxarchError {
    public readonly code = "stream-version-message-invalid";
}

/** Streams that a router has begun to serve, sent to the routers that hold their records. */
export interface StreamRecords {
    readonly kind: "records";
    readonly entries: readonly StreamEntry[];
}

/** Asks which version began a stream. */
export interface StreamQuery {
    readonly kind: "query";
    /** Unique among the sender's queries. */
    readonly queryId: number;
    readonly key: string;
    /** Services for which the reply says which versions were seen, in case the stream is not known. */
    readonly services: readonly string[];
    /** Period that {@link StreamReply.seen} covers; milliseconds. */
    readonly periodMs: number;
}

/** Reply to a query. */
export interface StreamReply {
    readonly kind: "reply";
    readonly queryId: number;
    /** Undefined if the router has no record of the stream. */
    readonly entry: StreamEntry | undefined;
    /** One entry for each service of the query. */
    readonly seen: readonly SeenVersions[];
}

/** The sender stops: it begins no more streams, and has sent the records that others need. */
export interface StreamEnd {
    readonly kind: "end";
}

/** Any message about the versions of streams. */
export type StreamVersionMessage = StreamRecords | StreamQuery | StreamReply | StreamEnd;

/** Each code identifies the format version and the kind of message. Other versions use other codes, and their messages are dropped. */
const codes = { records: 81, query: 82, reply: 83, end: 84 } as const;
/** Maximum number of entries in a message. Limits its size, so that networks don't split it into many fragments. */
export const maxEntries = 24;
const maxServices = 16;
/** Maximum length of the names of services and versions; characters. */
const maxNameLength = 128;

const key = z.string().min(1).max(64);
const name = z.string().max(maxNameLength);
const count = z.number().int().nonnegative();
/** The empty list stands for several versions. */
const beganSchema = z.union([z.tuple([name, name]), z.tuple([])]);
const entrySchema = z.tuple([key, beganSchema, count]);
const outdated = "outdated";
/** Builds without the last layout drop replies that use it, so that their sender counts as silent. */
const seenSchema = z.union([
    z.literal("mixed"),
    z.literal("incomplete"),
    z.tuple([name]),
    z.tuple([name, z.literal(outdated)]),
]);
const wireSchema = z.union([
    z.tuple([z.literal(codes.records), z.array(entrySchema).max(maxEntries)]),
    z.tuple([z.literal(codes.query), count, key, z.array(name).max(maxServices), count]),
    z.tuple([z.literal(codes.reply), count, z.array(entrySchema).max(1), z.array(seenSchema).max(maxServices)]),
    z.tuple([z.literal(codes.end)]),
]);

type WireEntry = z.infer<typeof entrySchema>;
type WireSeen = z.infer<typeof seenSchema>;

/** Whether a datagram is a message about the versions of streams. Checks only its first two bytes: an array that starts with a code. */
export function isStreamVersionDatagram(data: Uint8Array): boolean {
    return data.length > 1 && (data[0] & 0xf0) === 0x90 && data[1] >= codes.records && data[1] <= codes.end;
}

/** Encodes a message in MessagePack (https://msgpack.org). */
export function encodeStreamVersionMessage(message: StreamVersionMessage): Uint8Array {
    return encode(encodeWire(message));
}

/** Decodes a message. Errors: not valid MessagePack, or a layout or version that is not supported. */
export function decodeStreamVersionMessage(data: Uint8Array): Result<StreamVersionMessage, StreamVersionMessageError> {
    let value: unknown;
    try {
        value = decode(data);
    } catch (cause) {
        return err(new StreamVersionMessageError("stream version message is not valid MessagePack", cause));
    }
    const parsed = wireSchema.safeParse(value);
    return parsed.success
        ? ok(decodeWire(parsed.data))
        : err(new StreamVersionMessageError("stream version message has an unsupported layout", parsed.error));
}

function encodeWire(message: StreamVersionMessage): z.infer<typeof wireSchema> {
    switch (message.kind) {
        case "records":
            return [codes.records, message.entries.slice(0, maxEntries).map(encodeEntry)];
        case "query":
            return [
                codes.query,
                message.queryId,
                message.key,
                message.services.slice(0, maxServices),
                Math.ceil(message.periodMs),
            ];
        case "reply":
            return [
                codes.reply,
                message.queryId,
                message.entry === undefined ? [] : [encodeEntry(message.entry)],
                message.seen.map(encodeSeen),
            ];
        case "end":
            return [codes.end];
    }
}

function decodeWire(wire: z.infer<typeof wireSchema>): StreamVersionMessage {
    switch (wire[0]) {
        case codes.records:
            return { kind: "records", entries: wire[1].map(decodeEntry) };
        case codes.query:
            return { kind: "query", queryId: wire[1], key: wire[2], services: wire[3], periodMs: wire[4] };
        case codes.reply:
            return {
                kind: "reply",
                queryId: wire[1],
                entry: wire[2].map(decodeEntry).at(0),
                seen: wire[3].map(decodeSeen),
            };
        case codes.end:
            return { kind: "end" };
    }
}

function encodeEntry({ key: streamKey, began, leftMs }: StreamEntry): WireEntry {
    return [streamKey, began === undefined ? [] : [began.service, began.version], Math.max(0, Math.ceil(leftMs))];
}

function decodeEntry([streamKey, [service, version], leftMs]: WireEntry): StreamEntry {
    const began = service === undefined || version === undefined ? undefined : { service, version };
    return { key: streamKey, began, leftMs };
}

function encodeSeen(seen: SeenVersions): WireSeen {
    switch (seen.kind) {
        case "sole":
            return [seen.version];
        case "outdated":
            return [seen.version, outdated];
        case "mixed":
        case "incomplete":
            return seen.kind;
    }
}

function decodeSeen(wire: WireSeen): SeenVersions {
    if (typeof wire === "string") {
        return { kind: wire };
    }
    const [version, mark] = wire;
    return { kind: mark ?? "sole", version };
}
