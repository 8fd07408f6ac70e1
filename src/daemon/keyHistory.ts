import type { RosterHistory } from "../fleet/keys/rosterHistory.js";
import type { RosterState } from "../fleet/rosterState.js";

/** The roster's memberships in the form in which the authority over keys reads them. */
export function createKeyHistory(roster: RosterState): RosterHistory {
    return {
        tenures: roster.memberships
            .filter(span => span.entry.role === "agent")
            .map(span => ({
                agentId: span.entry.daemonId,
                incarnation: span.entry.incarnation,
                services: span.entry.services,
                registeredAtMs: span.fromMs,
                endedAtMs: span.untilMs,
            })),
        completeSinceMs: Number.isFinite(roster.historyCompleteSinceMs) ? roster.historyCompleteSinceMs : undefined,
    };
}
