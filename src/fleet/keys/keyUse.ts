import { parse, validate, version } from "uuid";
import { hashText } from "../../base/hash.js";

const uuidTimeBytes = 6;
const timeOrderedVersion = 7;

/** One request's use of an idempotency key. */
export interface KeyUse {
    readonly clientAccount: string;
    readonly service: string;
    readonly key: string;
    /** SHA-256 of method, path and body: another request under the same key is refused. */
    readonly requestDigest: string;
    readonly requestId: string;
}

/** Names an account's key at a service without showing it; equal on every daemon. */
export function hashKey(use: Pick<KeyUse, "clientAccount" | "service" | "key">): string {
    return hashText(JSON.stringify([use.clientAccount, use.service, use.key]));
}

/** When a UUIDv7 (RFC 9562, section 5.7) says it was made, in milliseconds since 1970; undefined for other keys. */
export function readKeyTime(key: string): number | undefined {
    if (!validate(key) || version(key) !== timeOrderedVersion) {
        return undefined;
    }
    return Buffer.from(parse(key)).readUIntBE(0, uuidTimeBytes);
}
