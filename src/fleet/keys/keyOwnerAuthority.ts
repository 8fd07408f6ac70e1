import type { Refusal } from "../entities.js";
import { isIssuedKey, verifyIssuedKey } from "./issuedKey.js";
import type { Instant, KeyTiming } from "./keyTiming.js";
import { hashKey, readKeyTime, type KeyUse } from "./keyUse.js";
import { findCurrentTenure, orderOwners, type RosterHistory, type Tenure } from "./rosterHistory.js";
import { SteadyWallClock } from "./steadyWallClock.js";
import { canHaveStartedBefore } from "./takeover.js";

/** Whether this process may start the request of a key that is not in its table. */
export type KeyStatus =
    /** No process has started the request, and only this process can. */
    | { readonly type: "new" }
    /** The request must not start in this process. */
    | {
          readonly type: "refused";
          readonly refusal: Refusal;
          /** Agent that owns the key, for a redirect; this process neither has started nor will start the request. */
          readonly homeAgentId?: string;
      };

/** Checks whether a key that is not in the table may be started at the given instant. */
export interface KeyAuthority {
    check(use: KeyUse, at: Instant): KeyStatus;
}

interface Confirmation {
    readonly history: RosterHistory;
    /** When the read of the log began; the history contains every record appended before then. */
    readonly startedAt: Instant;
}

/**
 * Decides whether this process may start the request of a key that is not in its table.
 * An issued key may be started by the process that it names until it expires; this needs neither log nor lease.
 * A caller-chosen key may be started by its owner, which rendezvous hashing selects. The owner must have begun a
 * successful read of the log within the lease, and no earlier owner can have started the request.
 */
export class KeyOwnerAuthority implements KeyAuthority {
    private readonly wallClock = new SteadyWallClock();
    private confirmation: Confirmation | undefined;
    /** This agent's tenure, and when the first read that contained it completed. */
    private registered: { readonly tenure: Tenure; readonly firstSeenAt: Instant } | undefined;

    public constructor(
        private readonly self: { readonly agentId: string; readonly incarnation: number },
        private readonly secret: string,
        private readonly timing: KeyTiming,
    ) {}

    /**
     * Applies the result of a read of the roster stream up to its end. `startedAt` is the instant before the read was
     * sent, `completedAt` the instant at which its reply arrived. The lease is counted from the start of the read, so
     * the wait of a long poll must be far shorter than the lease.
     */
    public update(history: RosterHistory, startedAt: Instant, completedAt: Instant): void {
        if (this.confirmation !== undefined && startedAt.nowMs < this.confirmation.startedAt.nowMs) {
            return;
        }
        this.confirmation = { history, startedAt };
        const tenure = this.getOwnTenure(history);
        // An agent that was evicted by mistake and registers again must wait for the settling time again: agents that
        // joined in the meantime do not count it as an earlier owner until that time has passed.
        if (tenure !== undefined && tenure.registeredAtMs !== this.registered?.tenure.registeredAtMs) {
            this.registered = { tenure, firstSeenAt: completedAt };
        }
    }

    public check(use: KeyUse, at: Instant): KeyStatus {
        const wallMs = this.wallClock.read(at);
        return isIssuedKey(use.key) ? this.checkIssued(use, wallMs) : this.checkCallerChosen(use, at, wallMs);
    }

    private checkIssued(use: KeyUse, wallMs: number): KeyStatus {
        const verified = verifyIssuedKey(this.secret, use.key);
        if (verified.isErr()) {
            // Execution is `unknown` instead of `not-run`: the key may have been used before the secret was replaced.
            return refuseUnknown(verified.error.message);
        }
        const claims = verified.value;
        if (claims.clientAccount !== use.clientAccount || claims.service !== use.service) {
            return refuseNotRun("The key was issued to another account or for another service.");
        }
        if (claims.agentId !== this.self.agentId) {
            return {
                ...refuseUnknown("The key belongs to another agent."),
                homeAgentId: claims.agentId,
            };
        }
        if (claims.incarnation !== this.self.incarnation) {
            return refuseUnknown("The process that could tell whether the key was used is gone.");
        }
        const isUnexpired = wallMs < claims.expiresAtMs;
        const isWithinLifetime =
            claims.expiresAtMs <= wallMs + this.timing.issuedLifetimeMs + this.timing.maxClockSkewMs;
        return isUnexpired && isWithinLifetime ? { type: "new" } : refuseUnknown("The key has expired.");
    }

    private checkCallerChosen(use: KeyUse, at: Instant, wallMs: number): KeyStatus {
        const confirmation = this.confirmation;
        if (confirmation === undefined || !this.isYounger(confirmation.startedAt, at, this.timing.leaseMs)) {
            return refuseUnknown(
                "The agent could not confirm lately that it is the home of the key.",
                this.timing.leaseMs,
            );
        }
        const own = this.getOwnTenure(confirmation.history);
        if (own === undefined) {
            return refuseUnknown("The agent is not in the roster, or a later process has taken its place.");
        }
        const keyHash = hashKey(use);
        const [owner] = orderOwners(confirmation.history, use.service, keyHash);
        if (owner?.agentId !== this.self.agentId) {
            return { ...refuseUnknown("Another agent is the home of the key."), homeAgentId: owner?.agentId };
        }
        const keyTimeMs = readKeyTime(use.key);
        const isNew = !canHaveStartedBefore(
            confirmation.history,
            own,
            { service: use.service, keyHash, keyTimeMs },
            wallMs,
            this.timing,
        );
        if (!isNew) {
            return refuseUnknown("The key may have been used before this agent became its home, or too long ago.");
        }
        const settleRemainingMs = this.getSettleRemainingMs(confirmation.startedAt);
        return settleRemainingMs > 0
            ? this.refuseUnsettled(confirmation.startedAt, at, settleRemainingMs)
            : { type: "new" };
    }

    /**
     * An owner in its settling time is not counted as an earlier owner, so its successor waits only for the successor's
     * own settling time and not for this owner's lease to expire. While the last read here is younger than the settling
     * time, no successor can have started the request, and its execution is `not-run`; afterwards it is `unknown`.
     */
    private refuseUnsettled(readStartedAt: Instant, at: Instant, settleRemainingMs: number): KeyStatus {
        const detail = "The agent has only just joined the roster.";
        const isReadRecent = this.isYounger(readStartedAt, at, this.timing.settleMs - this.timing.logSlackMs);
        return isReadRecent ? refuseNotRun(detail, settleRemainingMs) : refuseUnknown(detail, settleRemainingMs);
    }

    /**
     * Prevents an owner that was paused past its lease (SIGSTOP, a frozen VM) from starting a key that its successor
     * has started too. Checks both clocks, as the monotonic clock may stop while a VM is frozen.
     */
    private isYounger(startedAt: Instant, at: Instant, limitMs: number): boolean {
        const elapsedMs = at.nowMs - startedAt.nowMs;
        const wallElapsedMs = at.wallMs - startedAt.wallMs;
        return elapsedMs >= 0 && elapsedMs < limitMs && Math.abs(wallElapsedMs) < limitMs;
    }

    /**
     * Remaining settling time at the start of the last read. Because of it, agents that register within the settling
     * time of each other are not counted as each other's earlier owners; see takeover.ts.
     */
    private getSettleRemainingMs(readStartedAt: Instant): number {
        const settledAtMs = (this.registered?.firstSeenAt.nowMs ?? Infinity) + this.timing.settleMs;
        return settledAtMs - readStartedAt.nowMs;
    }

    private getOwnTenure(history: RosterHistory): Tenure | undefined {
        const tenure = findCurrentTenure(history, this.self.agentId);
        return tenure?.incarnation === this.self.incarnation ? tenure : undefined;
    }
}

function refuseUnknown(detail: string, retryAfterMs?: number): KeyStatus & { readonly type: "refused" } {
    return { type: "refused", refusal: { reason: "key-unknown", execution: "unknown", retryAfterMs, detail } };
}

function refuseNotRun(detail: string, retryAfterMs?: number): KeyStatus & { readonly type: "refused" } {
    return { type: "refused", refusal: { reason: "key-unknown", execution: "not-run", retryAfterMs, detail } };
}
