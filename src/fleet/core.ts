/**
 * A deterministic state machine without I/O: it turns messages into effects and receives the time as an argument, so
 * that daemons, property tests and benchmarks can run the same code.
 */
export interface Core<Message, Effect> {
    /** Processes one message and returns the resulting effects. `nowMs` is monotonic and never decreases. */
    handle(message: Message, nowMs: number): readonly Effect[];
    /** Returns the effects that are due because time has passed. */
    tick(nowMs: number): readonly Effect[];
    /** Time of the next {@link tick}, which lets an idle daemon sleep; undefined if only a message can change state. */
    nextTickAtMs(): number | undefined;
}
