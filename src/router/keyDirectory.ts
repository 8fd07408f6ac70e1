import { randomUUID } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../base/clock.js";
import type { Random } from "../base/random.js";
import type { RosterEntry } from "../control/schemas.js";
import type { AgentReport, Refusal } from "../fleet/entities.js";
import { signIssuedKey } from "../fleet/keys/issuedKey.js";
import { findKeyOwner } from "../fleet/keys/keyOwner.js";
import { defaultKeyTiming } from "../fleet/keys/keyTiming.js";
import type { KeyDirectory } from "./callerRequests.js";

const noAgentRetryMs = 2_000;

/** What the directory of keys needs. */
export interface RosterKeyDirectoryParts {
    readonly secret: string;
    readonly clock: Clock;
    readonly random: Random;
    listRoster(): readonly RosterEntry[];
    /** Newest report of each agent that answers. */
    listReports(): readonly AgentReport[];
}

/** Finds the home of a key by the roster; issues keys to agents that serve now. */
export class RosterKeyDirectory implements KeyDirectory {
    public constructor(private readonly parts: RosterKeyDirectoryParts) {}

    public findHome(clientAccount: string, service: string, key: string): Result<string, Refusal> {
        const agents = this.parts.listRoster().filter(entry => entry.role === "agent");
        return findKeyOwner({ clientAccount, service, key }, agents, this.parts.secret).map(home => home.agentId);
    }

    public issue(clientAccount: string, service: string): Result<string, Refusal> {
        const serving = this.parts
            .listReports()
            .filter(report => report.phase === "serving" && report.identity.services.includes(service));
        if (serving.length === 0) {
            return err({
                reason: "no-target",
                execution: "not-run",
                retryAfterMs: noAgentRetryMs,
                detail: "no agent that serves the service answers",
            });
        }
        const { identity } = serving[Math.floor(this.parts.random.next() * serving.length)];
        return ok(
            signIssuedKey(this.parts.secret, {
                agentId: identity.agentId,
                incarnation: identity.incarnation,
                service,
                clientAccount,
                expiresAtMs: this.parts.clock.nowDate().getTime() + defaultKeyTiming.issuedLifetimeMs,
                nonce: randomUUID(),
            }),
        );
    }
}
