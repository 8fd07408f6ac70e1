import type { Random } from "../../base/random.js";

/** Maximum burst of loads, in minutes of the allowance. */
const burstMinutes = 0.25;
const minuteMs = 60_000;
/** Jitter of the retry time of a refused load, as a fraction of the wait. */
const jitterFraction = 0.1;

/** Whether a weight load may start now, or after which time to retry. */
export type WeightLoadDecision =
    { readonly allowed: true } | { readonly allowed: false; readonly retryAfterMs: number };

/**
 * This agent's part of the fleet's allowance of weight loads, as a token bucket.
 *
 * Load pattern: many targets start at once, after a data centre has recovered or a new version was ordered. Each loads
 * its weights from the same rate-limited store. The store responds slowly or not at all, every load takes longer, and
 * the expected capacity does not become available. The allowance is divided by the number of live agents, so no
 * coordination is needed: when all agents load at once, their sum is still the store's rate. Agents start with
 * different fractions of a token, by their place in the roster, so that the fleet's first loads are spread evenly over
 * the time in which one token accrues. Random fractions are not even enough: with them ten loads occurred in a minute
 * at an allowance of six. The jitter only prevents agents from retrying at the same moments repeatedly.
 *
 * The burst of a quarter of a minute's allowance, and at least one load, lets a single target load a model and its
 * adapter.
 */
export class WeightLoadBucket {
    private tokens: number;
    private updatedAtMs: number | undefined;

    /** `place` is this agent's position among the agents that share the allowance, from 0 to below 1. */
    public constructor(
        place: number,
        private readonly random: Random,
    ) {
        this.tokens = place;
    }

    /**
     * Takes a token if one is available. `perMinute` is the fleet's allowance, `agents` the number of agents that share
     * it.
     */
    public take(perMinute: number, agents: number, nowMs: number): WeightLoadDecision {
        const perMs = perMinute / Math.max(1, agents) / minuteMs;
        const maxTokens = Math.max(1, (perMinute / Math.max(1, agents)) * burstMinutes);
        this.tokens = Math.min(maxTokens, this.tokens + perMs * (nowMs - (this.updatedAtMs ?? nowMs)));
        this.updatedAtMs = nowMs;
        if (this.tokens >= 1) {
            this.tokens -= 1;
            return { allowed: true };
        }
        const waitMs = (1 - this.tokens) / perMs;
        return { allowed: false, retryAfterMs: waitMs * (1 + jitterFraction * this.random.next()) };
    }
}
