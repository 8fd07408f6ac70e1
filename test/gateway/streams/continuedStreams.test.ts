import { expect, it } from "vitest";
import type { GrantMessage } from "../../../src/gateway/grants/grantMessage.js";
import { RequestAdmission } from "../../../src/gateway/requestAdmission.js";
import { createAdmissionOptions, createRouter, service, targetIds } from "../admissionFixture.js";

/** What the owner of an engine is asked for a request. */
function listDemands(isContinued: boolean): readonly object[] {
    const sent: GrantMessage[] = [];
    for (const targetId of targetIds) {
        const router = createRouter(targetId, sent);
        new RequestAdmission(createAdmissionOptions(router, "north", isContinued)).check([service], () => undefined);
    }
    return sent
        .filter(message => message.kind === "request")
        .slice(0, 1)
        .map(({ accountHash, maxWaitMs, maxUsage }) => ({ hasAccount: accountHash !== 0, maxWaitMs, maxUsage }));
}

// A caller that resumes a stream is refused like a new one although its version has few engines, and what it has received is lost.
it("a stream that is continued may wait longer than a new one, and regardless of its account's share", () => {
    expect({ isNew: listDemands(false), isContinued: listDemands(true) }).toMatchInlineSnapshot(`
      {
        "isContinued": [
          {
            "hasAccount": false,
            "maxUsage": 1.5,
            "maxWaitMs": 1156.6666666666667,
          },
        ],
        "isNew": [
          {
            "hasAccount": true,
            "maxUsage": 1.5,
            "maxWaitMs": 556.6666666666666,
          },
        ],
      }
    `);
});
