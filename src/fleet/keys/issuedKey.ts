import { createHmac, timingSafeEqual } from "node:crypto";
import { err, Result } from "neverthrow";
import { z } from "zod";
import { LynxarchError } from "../../base/errors.js";

/** Prefix of every issued key; a key with this prefix is never treated as caller-chosen. */
export const issuedKeyPrefix = "lx1.";

const maxKeyLength = 512;
const macPurpose = "lynxarch issued idempotency key, version 1\n";

const claimsSchema = z.strictObject({
    agentId: z.string().min(1),
    incarnation: z.number().int().nonnegative(),
    service: z.string().min(1),
    clientAccount: z.string().min(1),
    expiresAtMs: z.number().int(),
    nonce: z.string().min(1),
});

/** Claims of an issued key: the only process that may start its request, the account, the service, and the expiry. */
export type IssuedKeyClaims = Readonly<z.infer<typeof claimsSchema>>;

/** An issued key is malformed or not signed with the shared secret. */
export class IssuedKeyError extends LynxarchError {
    public readonly code = "issued-key-invalid";

    public constructor(public readonly problem: "malformed" | "signature") {
        super(problem === "malformed" ? "The issued key is malformed." : "The issued key's signature is not ours.");
    }
}

/** Whether a key has the prefix of issued keys; its signature is not checked. */
export function isIssuedKey(key: string): boolean {
    return key.startsWith(issuedKeyPrefix);
}

/** Creates an issued key from its claims, signed with the secret that all daemons share. */
export function signIssuedKey(secret: string, claims: IssuedKeyClaims): string {
    const payload = Buffer.from(JSON.stringify(claims)).toString("base64url");
    return `${issuedKeyPrefix}${payload}.${computeMac(secret, payload).toString("base64url")}`;
}

/** Verifies a key's signature and returns its claims. Errors: malformed, or signed with another secret. */
export function verifyIssuedKey(secret: string, key: string): Result<IssuedKeyClaims, IssuedKeyError> {
    const parts = key.slice(issuedKeyPrefix.length).split(".");
    if (!isIssuedKey(key) || key.length > maxKeyLength || parts.length !== 2) {
        return err(new IssuedKeyError("malformed"));
    }
    const [payload, mac] = parts;
    const expected = computeMac(secret, payload);
    const actual = Buffer.from(mac, "base64url");
    // A comparison that stops at the first different byte would let a client find a valid signature byte by byte.
    if (actual.length !== expected.length || !timingSafeEqual(actual, expected)) {
        return err(new IssuedKeyError("signature"));
    }
    // Several base64url strings decode to the same bytes; only the canonical one is accepted, so that one key never has
    // two table entries.
    if (actual.toString("base64url") !== mac) {
        return err(new IssuedKeyError("malformed"));
    }
    return parseClaims(payload);
}

function parseClaims(payload: string): Result<IssuedKeyClaims, IssuedKeyError> {
    const parse = Result.fromThrowable(
        () => claimsSchema.parse(JSON.parse(Buffer.from(payload, "base64url").toString("utf8"))),
        () => new IssuedKeyError("malformed"),
    );
    return parse();
}

function computeMac(secret: string, payload: string): Buffer {
    return createHmac("sha256", secret).update(macPurpose).update(payload).digest();
}
