import { parse, validate, version } from "uuid";
import { hashText } from "../../base/hash.js";

const uuidTimeBytes = 6;
const timeOrderedVersion = 7;

/** A request together with its idempotency key. */
export interface KeyUse {
    readonly clientAccount: string;
    readonly service: string;
    readonly key: string;
    /** SHA-256 of method, path and body; a request with the same key and another digest is refused. */
    readonly requestDigest: string;
    readonly requestId: string;
}

/** Hash that identifies an account's key for a service without revealing the key; the same on every daemon. */
export function hashKey(use: Pick<KeyUse, "clientAccount" | "service" | "key">): string {
    return hashText(JSON.stringify([use.clientAccount, use.service, use.key]));
}

/** Creation time in a UUIDv7 (RFC 9562, section 5.7), in milliseconds since 1970; undefined for other keys. */
export function readKeyTime(key: string): number | undefined {
    if (!validate(key) || version(key) !== timeOrderedVersion) {
        return undefined;
    }
    return Buffer.from(parse(key)).readUIntBE(0, uuidTimeBytes);
}
