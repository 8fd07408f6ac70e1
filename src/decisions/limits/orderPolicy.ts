/** What an engine can be told to do. */
export type OrderKind = "load-model" | "load-adapter" | "set-version" | "set-role";

/** An order as it is sent to the engine. */
export interface EngineOrder {
    readonly kind: OrderKind;
    readonly name: string;
    /** Log offset of the sending agent's registration; a later agent's is larger. */
    readonly fencing: number;
}

/** What the agent knows of its right to give orders. */
export interface OrderContext {
    /** Offset of this agent's own registration; undefined before it is confirmed. */
    readonly ownOffset: number | undefined;
    /** Offset of the newest registration for the same target that this agent has read. */
    readonly newestOffset: number | undefined;
    /** When this agent last read the end of the roster's stream; monotonic milliseconds. */
    readonly checkedAtMs: number | undefined;
    /** When this process last ran; a jump since then is a pause. */
    readonly lastRanAtMs: number;
    /** Whether the engine itself refuses old fencing numbers. */
    readonly targetChecksFencing: boolean;
}

/** Whether the order may be sent. */
export type OrderDecision =
    | { readonly decision: "send"; readonly fencing: number }
    /** Read the roster to its end first, then ask again. */
    | { readonly decision: "check" }
    | { readonly decision: "refuse"; readonly detail: string };

/** A registration that was read so lately counts as checked; milliseconds. */
export const registrationCheckTtlMs = 2_000;
/** A process that has not run for so long was paused; milliseconds. Timers of an idle process fire more often. */
export const pauseThresholdMs = 1_000;

/**
 * Decides whether this agent may give its engine an order.
 *
 * Failure: an agent is paused, its VM is replaced, a new agent orders a new version; the old one wakes and sends its own
 * order, and the engine serves the old version again. An engine that checks fencing numbers refuses the late order, as its
 * number is smaller. For one that does not check, the order goes only right after the roster was read to its
 * end without a newer registration, and never right after a pause. What remains is a pause between the check and the
 * send; on one VM the agent's exclusively bound port, which a paused process keeps, lets no second agent in.
 */
export function checkOrder(situation: OrderContext, nowMs: number): OrderDecision {
    const { ownOffset, newestOffset, checkedAtMs } = situation;
    if (ownOffset === undefined) {
        return { decision: "refuse", detail: "The agent's registration is not confirmed." };
    }
    if (newestOffset !== undefined && newestOffset > ownOffset) {
        return { decision: "refuse", detail: "A newer agent has registered for this target." };
    }
    if (situation.targetChecksFencing) {
        return { decision: "send", fencing: ownOffset };
    }
    const wasPaused = nowMs - situation.lastRanAtMs >= pauseThresholdMs;
    const isChecked = checkedAtMs !== undefined && nowMs - checkedAtMs < registrationCheckTtlMs;
    return wasPaused || !isChecked ? { decision: "check" } : { decision: "send", fencing: ownOffset };
}
