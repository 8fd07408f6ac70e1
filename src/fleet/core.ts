/**
 * A deterministic state machine without I/O: messages in, effects out, time passed in.
 * The daemons, the property tests and the benchmark drive the same cores.
 */
export interface Core<Message, Effect> {
    /** Takes one message and runs the systems; `nowMs` is monotonic and never falls. */
    handle(message: Message, nowMs: number): readonly Effect[];
    /** Runs the systems because time has passed. */
    tick(nowMs: number): readonly Effect[];
    /** When {@link tick} is next due, so that an idle daemon sleeps; undefined when only a message can change anything. */
    nextTickAtMs(): number | undefined;
}
