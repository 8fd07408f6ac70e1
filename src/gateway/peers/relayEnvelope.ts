import { Decoder, Encoder } from "@msgpack/msgpack";
import { err, ok, type Result } from "neverthrow";
import { LynxarchError } from "../../base/errors.js";
import { decodePeerMessage, type PeerMessage } from "./peerMessage.js";

/** An envelope can't be decoded, or its sender is not the origin of the message in it. */
export class RelayEnvelopeError extends LynxarchError {
    public readonly code = "relay-envelope-invalid";
}

/** A message that is to be forwarded within the receiver's data centre. */
export interface RelayEnvelope {
    readonly message: PeerMessage;
    /** The message as its origin encoded it. */
    readonly data: Uint8Array;
}

/** Identifies the format version. Other versions use other codes, and their envelopes are dropped. */
const messageCode = 97;
const wireLength = 2;
const encoder = new Encoder();
const decoder = new Decoder();

/** Whether a datagram is an envelope. Checks only its first two bytes: an array whose first entry is the code. */
export function isRelayEnvelope(data: Uint8Array): boolean {
    return data.length > 1 && (data[0] & 0xf0) === 0x90 && data[1] === messageCode;
}

/** Puts an encoded {@link PeerMessage} into an envelope. */
export function encodeRelayEnvelope(data: Uint8Array): Uint8Array {
    return encoder.encode([messageCode, data]);
}

/** Decodes an envelope and the message in it, which is not copied. Errors: malformed envelope or message. */
export function decodeRelayEnvelope(envelope: Uint8Array): Result<RelayEnvelope, RelayEnvelopeError> {
    let value: unknown;
    try {
        value = decoder.decode(envelope);
    } catch (cause) {
        return err(new RelayEnvelopeError("envelope is not valid MessagePack", cause));
    }
    if (!Array.isArray(value) || value.length !== wireLength) {
        return err(new RelayEnvelopeError("envelope has an unsupported layout"));
    }
    const [code, data] = value as readonly unknown[];
    if (code !== messageCode || !(data instanceof Uint8Array)) {
        return err(new RelayEnvelopeError("envelope has an unsupported layout"));
    }
    return decodePeerMessage(data)
        .mapErr(cause => new RelayEnvelopeError(`message in an envelope: ${cause.message}`, cause))
        .andThen(message => ok({ message, data }));
}
