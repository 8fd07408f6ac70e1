import { expect, it } from "vitest";
import type { GrantDemand, GrantOutcome } from "../../../src/gateway/grants/grantClient.js";
import type { GrantReply } from "../../../src/gateway/grants/grantMessage.js";
import { submitGuarded } from "../../../src/gateway/grants/submitGuarded.js";

const reply: GrantReply = {
    kind: "reply",
    grantId: 1,
    isTargetKnown: true,
    granted: true,
    newTokens: 0,
    queuedTokens: 0,
    usage: 0,
    maxUsage: 1,
    retryAfterMs: 0,
};

// The exception would reach the receiver of the owner's reply, and the request would neither end nor give back its grant.
it.each(["granted", "denied", "unanswered"] as const)(
    "an exception while a reply is processed ends the request and its grant (%s)",
    kind => {
        const reports: string[] = [];
        const errors: unknown[] = [];
        const grant = { usage: 0, report: (progress: string) => void reports.push(progress) };
        const outcomes: Readonly<Record<typeof kind, GrantOutcome>> = {
            granted: { kind: "granted", grant, reply },
            denied: { kind: "denied", reply },
            unanswered: { kind: "unanswered" },
        };
        const error = new Error("can't be processed");
        submitGuarded(
            { submit: (...[, handleOutcome]) => handleOutcome(outcomes[kind]) },
            {} as GrantDemand,
            () => {
                throw error;
            },
            caught => void errors.push(caught),
        );
        expect({ reports, errors }).toEqual({ reports: kind === "granted" ? ["not-run"] : [], errors: [error] });
    },
);
