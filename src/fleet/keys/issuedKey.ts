import { createHmac, timingSafeEqual } from "node:crypto";
import { err, Result } from "neverthrow";
import { z } from "zod";
import { LynxarchError } from "../../base/errors.js";

/** Every issued key begins with this; caller-chosen keys never do. */
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

/** What an issued key says: the one process that may run it, for whom, for what, and until when. */
export type IssuedKeyClaims = Readonly<z.infer<typeof claimsSchema>>;

/** An issued key that cannot be accepted. */
export class IssuedKeyError extends LynxarchError {
    public readonly code = "issued-key-invalid";

    public constructor(public readonly problem: "malformed" | "signature") {
        super(problem === "malformed" ? "The issued key is malformed." : "The issued key's signature is not ours.");
    }
}

/** Whether a key claims to be issued by a router. */
export function isIssuedKey(key: string): boolean {
    return key.startsWith(issuedKeyPrefix);
}

/** Makes a key out of its claims; the secret is the one that all daemons share. */
export function signIssuedKey(secret: string, claims: IssuedKeyClaims): string {
    const payload = Buffer.from(JSON.stringify(claims)).toString("base64url");
    return `${issuedKeyPrefix}${payload}.${computeMac(secret, payload).toString("base64url")}`;
}

/** Reads a key's claims once its signature is proved. Errors: malformed, or signed with another secret. */
export function verifyIssuedKey(secret: string, key: string): Result<IssuedKeyClaims, IssuedKeyError> {
    const parts = key.slice(issuedKeyPrefix.length).split(".");
    if (!isIssuedKey(key) || key.length > maxKeyLength || parts.length !== 2) {
        return err(new IssuedKeyError("malformed"));
    }
    const [payload, mac] = parts;
    const expected = computeMac(secret, payload);
    const given = Buffer.from(mac, "base64url");
    // A comparison that stops at the first differing byte lets a client find a valid signature byte by byte.
    if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
        return err(new IssuedKeyError("signature"));
    }
    // Base64url has several spellings of one value; only ours counts, so that one key is never two table entries.
    if (given.toString("base64url") !== mac) {
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
