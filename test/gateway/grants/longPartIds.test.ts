import { expect, it } from "vitest";
import { decodeGrantMessage, encodeGrantMessage, type GrantRequest } from "../../../src/gateway/grants/grantMessage.js";
import { PlatformHeaders } from "../../../platform/headers.js";

/** Parts of a prompt as the router decodes them from a caller's request. */
function decodeParts(...ids: readonly string[]): GrantRequest["sharedParts"] {
    const parts = ids.map(id => `${id}:100`).join(",");
    return new PlatformHeaders().decodeRequest(["X-Lynxarch-Prefix-Hash", parts]).promptParts;
}

// The owner would drop the request for a grant. It then counts as silent, and is not asked for the requests of other accounts either.
it("a prompt part with an id of any length is part of a request for a grant that its owner can decode", () => {
    const long = "a".repeat(7_000);
    const sharedParts = decodeParts("aa", "b".repeat(64), "c".repeat(65), long, `${long}b`);
    const request: GrantRequest = {
        kind: "request",
        grantId: 1,
        incarnation: 1,
        targetHash: 1,
        sharedParts,
        ownTokens: 1,
        copiedTokens: 0,
        outputTokens: 1,
        accountHash: 1,
        chargedTokens: 1,
        maxWaitMs: 1,
        maxUsage: 1,
        windowMs: 1,
        isUnconditional: false,
    };
    const decoded = decodeGrantMessage(encodeGrantMessage(request));
    expect(decoded.map(message => message.kind === "request" && message.sharedParts)).toEqual(
        expect.objectContaining({ value: sharedParts }),
    );
    expect(new Set(sharedParts.map(({ id }) => id)).size).toBe(5);
    expect(decodeParts(long)).toEqual([sharedParts[3]]);
});
