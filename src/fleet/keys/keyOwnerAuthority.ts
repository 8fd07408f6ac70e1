import type { Refusal } from "../entities.js";
import { isIssuedKey, verifyIssuedKey } from "./issuedKey.js";
import type { Instant, KeyTiming } from "./keyTiming.js";
import { hashKey, readKeyTime, type KeyUse } from "./keyUse.js";
import { findCurrentTenure, orderOwners, type RosterHistory, type Tenure } from "./rosterHistory.js";
import { SteadyWallClock } from "./steadyWallClock.js";
import { canHaveStartedBefore } from "./takeover.js";

/** What a home knows of a key that is not in its table. */
export type KeyStatus =
    /** No process has started it, and none but this one can. */
    | { readonly type: "new" }
    /** It may not start here. */
    | {
          readonly type: "refused";
          readonly refusal: Refusal;
          /** The agent that is the home; this one has not started the key and never will on this request. */
          readonly homeAgentId?: string;
      };

/** Checks a key that is not in the table, at this very moment. */
export interface KeyAuthority {
    check(use: KeyUse, at: Instant): KeyStatus;
}

interface Confirmation {
    readonly history: RosterHistory;
    /** When the read of the log began: what the log says is true at least until then. */
    readonly began: Instant;
}

/**
 * Decides whether this process may start a key that it has not seen.
 * Issued keys: the process that the key names, until the key expires; needs neither log nor lease.
 * Caller-chosen keys: the home by rendezvous hash, while a read of the log is younger than the lease, and only if no
 * earlier home can have started the key.
 */
export class KeyOwnerAuthority implements KeyAuthority {
    private readonly wallClock = new SteadyWallClock();
    private confirmation: Confirmation | undefined;
    /** The own tenure, and the end of the first read that showed it. */
    private registered: { readonly tenure: Tenure; readonly seen: Instant } | undefined;

    public constructor(
        private readonly self: { readonly agentId: string; readonly incarnation: number },
        private readonly secret: string,
        private readonly timing: KeyTiming,
    ) {}

    /**
     * Takes in what a read of the roster stream up to its end showed. `began` is the instant before the read was sent,
     * `ended` the instant its answer was there. A read that waits for news confirms nothing beyond its beginning, so
     * keep the wait far below the lease.
     */
    public update(history: RosterHistory, began: Instant, ended: Instant): void {
        if (this.confirmation !== undefined && began.nowMs < this.confirmation.began.nowMs) {
            return;
        }
        this.confirmation = { history, began };
        const tenure = this.getOwnTenure(history);
        // An agent that was evicted by mistake and registers again settles anew: agents that join meanwhile count on it.
        if (tenure !== undefined && tenure.registeredAtMs !== this.registered?.tenure.registeredAtMs) {
            this.registered = { tenure, seen: ended };
        }
    }

    public check(use: KeyUse, at: Instant): KeyStatus {
        const wallMs = this.wallClock.read(at);
        return isIssuedKey(use.key) ? this.checkIssued(use, wallMs) : this.checkChosen(use, at, wallMs);
    }

    private checkIssued(use: KeyUse, wallMs: number): KeyStatus {
        const verified = verifyIssuedKey(this.secret, use.key);
        if (verified.isErr()) {
            // Not `not-run`: the key may have been signed and used before the secret was replaced.
            return refuseUnknown(verified.error.message);
        }
        const claims = verified.value;
        if (claims.clientAccount !== use.clientAccount || claims.service !== use.service) {
            return refuseNotRun("The key was issued to another account or for another service.");
        }
        if (claims.agentId !== this.self.agentId) {
            return { ...refuseUnknown("The key belongs to another agent."), homeAgentId: claims.agentId };
        }
        if (claims.incarnation !== this.self.incarnation) {
            return refuseUnknown("The process that could tell whether the key was used is gone.");
        }
        const isLive = wallMs < claims.expiresAtMs;
        const isWithinLifetime =
            claims.expiresAtMs <= wallMs + this.timing.issuedLifetimeMs + this.timing.maxClockSkewMs;
        return isLive && isWithinLifetime ? { type: "new" } : refuseUnknown("The key has expired.");
    }

    private checkChosen(use: KeyUse, at: Instant, wallMs: number): KeyStatus {
        const confirmation = this.confirmation;
        if (confirmation === undefined || !this.isYounger(confirmation.began, at, this.timing.leaseMs)) {
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
        const [home] = orderOwners(confirmation.history, use.service, keyHash);
        if (home?.agentId !== this.self.agentId) {
            return { ...refuseUnknown("Another agent is the home of the key."), homeAgentId: home?.agentId };
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
        const settleLeftMs = this.getSettleLeftMs(confirmation.began);
        return settleLeftMs > 0 ? this.refuseUnsettled(confirmation.began, at, settleLeftMs) : { type: "new" };
    }

    /**
     * A home that is settling is not counted as an earlier home, so whoever takes its place need not wait for its lease
     * to lapse: only for its own settling time. Nothing was run as long as the last read is younger than that.
     */
    private refuseUnsettled(began: Instant, at: Instant, settleLeftMs: number): KeyStatus {
        const detail = "The agent has only just joined the roster.";
        const isYoung = this.isYounger(began, at, this.timing.settleMs - this.timing.logSlackMs);
        return isYoung ? refuseNotRun(detail, settleLeftMs) : refuseUnknown(detail, settleLeftMs);
    }

    /**
     * A holder that was stopped (SIGSTOP, a frozen VM) past its lease would otherwise start a key that its successor has
     * started too. Both clocks are asked, as the monotonic one may stand still while a VM is frozen.
     */
    private isYounger(began: Instant, at: Instant, limitMs: number): boolean {
        const elapsedMs = at.nowMs - began.nowMs;
        const wallElapsedMs = at.wallMs - began.wallMs;
        return elapsedMs >= 0 && elapsedMs < limitMs && Math.abs(wallElapsedMs) < limitMs;
    }

    /** Two agents that register within the settling time need not count each other as earlier homes; see takeover.ts. */
    private getSettleLeftMs(confirmedAt: Instant): number {
        const settledAtMs = (this.registered?.seen.nowMs ?? Infinity) + this.timing.settleMs;
        return settledAtMs - confirmedAt.nowMs;
    }

    private getOwnTenure(history: RosterHistory): Tenure | undefined {
        const standing = findCurrentTenure(history, this.self.agentId);
        return standing?.incarnation === this.self.incarnation ? standing : undefined;
    }
}

function refuseUnknown(detail: string, retryAfterMs?: number): KeyStatus & { readonly type: "refused" } {
    return { type: "refused", refusal: { reason: "key-unknown", execution: "unknown", retryAfterMs, detail } };
}

function refuseNotRun(detail: string, retryAfterMs?: number): KeyStatus & { readonly type: "refused" } {
    return { type: "refused", refusal: { reason: "key-unknown", execution: "not-run", retryAfterMs, detail } };
}
