/** Actions that an agent can order its engine to take. */
export type OrderKind = "load-model" | "load-adapter" | "set-version" | "set-role";

/** An order as it is sent to the engine. */
export interface EngineOrder {
    readonly kind: OrderKind;
    readonly name: string;
    /** Log offset of the sending agent's registration; a later agent has a larger one. */
    readonly fencing: number;
}

/** State that determines whether an agent may send orders. */
export interface OrderContext {
    /** Offset of this agent's own registration; undefined before it is confirmed. */
    readonly ownOffset: number | undefined;
    /** Offset of the newest registration for the same target that this agent has read. */
    readonly newestOffset: number | undefined;
    /** Monotonic time in milliseconds at which this agent last read the end of the roster's stream. */
    readonly checkedAtMs: number | undefined;
    /** Time at which this process last ran; a large gap since then means that it was paused. */
    readonly lastRanAtMs: number;
    /** Whether the engine itself refuses outdated fencing numbers. */
    readonly targetChecksFencing: boolean;
}

/** Whether the order may be sent. */
export type OrderDecision =
    | { readonly decision: "send"; readonly fencing: number }
    /** Read the roster to its end first, then call {@link checkOrder} again. */
    | { readonly decision: "check" }
    | { readonly decision: "refuse"; readonly detail: string };

/** A registration read within this time counts as checked; milliseconds. */
export const registrationCheckTtlMs = 2_000;
/** A process that has not run for this long was paused; milliseconds. Timers of an idle process fire more often. */
export const pauseThresholdMs = 1_000;

/**
 * Decides whether this agent may send an order to its engine.
 *
 * Failure: an agent is paused, its VM is replaced, and a new agent orders a new version. The old agent resumes and
 * sends its own order, so the engine serves the old version again. An engine that checks fencing numbers refuses the
 * late order, because its number is smaller. For an engine that does not, an order is sent only directly after the
 * roster was read to its end without a newer registration, and never directly after a pause. The remaining risk is a
 * pause between the check and the send; on one VM, the agent's exclusively bound port, which a paused process keeps,
 * prevents a second agent from starting.
 */
export function checkOrder(context: OrderContext, nowMs: number): OrderDecision {
    const { ownOffset, newestOffset, checkedAtMs } = context;
    if (ownOffset === undefined) {
        return { decision: "refuse", detail: "The agent's registration is not confirmed." };
    }
    if (newestOffset !== undefined && newestOffset > ownOffset) {
        return { decision: "refuse", detail: "A newer agent has registered for this target." };
    }
    if (context.targetChecksFencing) {
        return { decision: "send", fencing: ownOffset };
    }
    const wasPaused = nowMs - context.lastRanAtMs >= pauseThresholdMs;
    const isChecked = checkedAtMs !== undefined && nowMs - checkedAtMs < registrationCheckTtlMs;
    return wasPaused || !isChecked ? { decision: "check" } : { decision: "send", fencing: ownOffset };
}
