import { createHash } from "node:crypto";
import { hashFast } from "../../base/hash.js";

const digestBytes = 16;

/**
 * What makes a request the same one when it comes again: account, method, path and body. Its id, its deadline and where a stream is
 * resumed change from one attempt to the next. The digest is cryptographic, so that nobody can forge another account's request.
 */
export class RequestIdentity {
    public readonly prefixHash: number;
    private computed: string | undefined;

    public constructor(
        private readonly account: string | undefined,
        private readonly method: string,
        private readonly url: string,
        private readonly body: Buffer | undefined,
    ) {
        this.prefixHash = hashFast(JSON.stringify([account ?? "", method, url]));
    }

    /** Computed at first use, as nearly all requests need none. */
    public get digest(): string {
        this.computed ??= createHash("sha256")
            .update(JSON.stringify([this.account ?? "", this.method, this.url]))
            .update(this.body ?? "")
            .digest()
            .subarray(0, digestBytes)
            .toString("hex");
        return this.computed;
    }
}
