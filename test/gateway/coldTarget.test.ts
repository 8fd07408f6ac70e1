import { describe, expect, it } from "vitest";
import type { ModelRouter } from "../../bench/gateway/modelRouter.js";
import type { GrantMessage } from "../../src/gateway/grants/grantMessage.js";
import { RequestAdmission } from "../../src/gateway/requestAdmission.js";
import { openTargetSend } from "../../src/gateway/targetSend.js";
import { createAdmissionOptions, createRouter, ownerId, service, targetIds } from "./admissionFixture.js";

/** Requests admission, and opens the send once the request is admitted, as the request flow does. */
function submitRequest(router: ModelRouter, outcomes: boolean[]): void {
    const { context } = router;
    const options = createAdmissionOptions(router, undefined, false);
    const { selector, routed } = options;
    const admission = new RequestAdmission(options);
    admission.check([service], outcome => {
        const { selection } = outcome;
        const send =
            selection === undefined
                ? undefined
                : openTargetSend(selector, { context, selection, routed, sendId: "r", outputTokens: 10 });
        outcomes.push(send !== undefined);
    });
}

/** Creates a router with a first request to a target that the peer owns. */
function createWithPeerOwner(): { router: ModelRouter; sent: GrantMessage[]; outcomes: boolean[] } {
    for (const targetId of targetIds) {
        const sent: GrantMessage[] = [];
        const outcomes: boolean[] = [];
        const router = createRouter(targetId, sent);
        submitRequest(router, outcomes);
        if (sent.length > 0 && outcomes.length === 0) {
            return { router, sent, outcomes };
        }
    }
    throw new Error("none of the targets is owned by the peer and has capacity for a request");
}

const reply = {
    kind: "reply",
    isTargetKnown: true,
    newTokens: 100,
    queuedTokens: 0,
    usage: 0.1,
    maxUsage: 1,
    retryAfterMs: 0,
} as const;

describe("a cold target", () => {
    // Requests that wait for the owner's reply each found capacity at the cold target when it was selected. Sent together they crash it.
    it("receives no more than its rate when several requests are granted at once", () => {
        const { router, sent, outcomes } = createWithPeerOwner();
        submitRequest(router, outcomes);
        submitRequest(router, outcomes);
        for (const { grantId } of sent.slice()) {
            router.context.grants.applyReply(ownerId, { ...reply, granted: true, grantId });
        }
        expect(outcomes).toEqual([true, false, false]);
    });
});
