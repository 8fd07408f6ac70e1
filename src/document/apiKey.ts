import { randomBytes, timingSafeEqual } from "node:crypto";
import { hashText } from "../base/hash.js";
import type { EnvironmentDocument } from "./schema.js";

const keyBytes = 32;
const keyPrefix = "lx_";

/** A new API key and the hash that goes into the document; the key itself is stored nowhere. */
export interface IssuedApiKey {
    readonly key: string;
    readonly hash: string;
}

/** Issues a key of 256 random bits. */
export function issueApiKey(): IssuedApiKey {
    const key = keyPrefix + randomBytes(keyBytes).toString("base64url");
    return { key, hash: hashApiKey(key) };
}

/** SHA-256 as lower-case hex. A slow hash would add nothing: keys are random, so they cannot be guessed from a list. */
export function hashApiKey(key: string): string {
    return hashText(key);
}

/** Finds the client account of an API key; built once per accepted document. */
export class ApiKeyIndex {
    private readonly entries: readonly { readonly clientAccount: string; readonly hash: Buffer }[];

    public constructor(document: EnvironmentDocument) {
        this.entries = Object.entries(document.clientAccounts).flatMap(([clientAccount, account]) =>
            account.apiKeyHashes.map(hash => ({ clientAccount, hash: Buffer.from(hash, "hex") })),
        );
    }

    /** The account of the key, or undefined. */
    public find(key: string): string | undefined {
        const presented = Buffer.from(hashApiKey(key), "hex");
        let found: string | undefined;
        // Every entry is compared in constant time and the loop never ends early: the time taken tells a caller neither
        // how much of a hash fits nor which account it belongs to.
        for (const entry of this.entries) {
            if (timingSafeEqual(entry.hash, presented)) {
                found ??= entry.clientAccount;
            }
        }
        return found;
    }
}
