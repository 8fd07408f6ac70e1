import { createHash } from "node:crypto";
import { hashFast } from "../../base/hash.js";

const digestBytes = 16;

/**
 * Identifies repeats of the same request by account, method, path and body. Request id, deadline and the position at which a stream
 * resumes are not part of it, as they change between attempts. The digest is cryptographic, so that no caller can create a request
 * with the digest of another account's request.
 */
export class RequestIdentity {
    /** 32-bit hash of account, method and URL. */
    public readonly prefixHash: number;
    private cachedDigest: string | undefined;

    /** `sharedParts`: ids of the prompt parts that other requests may have as well. */
    public constructor(
        private readonly account: string | undefined,
        private readonly method: string,
        private readonly url: string,
        private readonly body: Buffer | undefined,
        public readonly sharedParts: readonly string[] = [],
    ) {
        this.prefixHash = hashFast(JSON.stringify([account ?? "", method, url]));
    }

    /** Hash over account, method, URL and body, as 32 hexadecimal digits. Computed on first access, as nearly all requests need none. */
    public get digest(): string {
        this.cachedDigest ??= createHash("sha256")
            .update(JSON.stringify([this.account ?? "", this.method, this.url]))
            .update(this.body ?? "")
            .digest()
            .subarray(0, digestBytes)
            .toString("hex");
        return this.cachedDigest;
    }
}
