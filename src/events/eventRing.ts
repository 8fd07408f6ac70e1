import type { EventRecorder, FleetEvent, FleetEventInput, HybridTime } from "./fleetEvent.js";
import type { HybridClock } from "./hybridClock.js";

/** Which process an event comes from. */
export interface EventOrigin {
    readonly daemon: string;
    readonly incarnation: number;
}

/**
 * The newest events of one process, in bounded memory. Sequence numbers start at 1 and rise by one, so a reader that
 * came too late sees a gap and never takes a part for the whole.
 */
export class EventRing implements EventRecorder {
    private readonly slots: FleetEvent[] = [];
    private lastSequence = 0;

    public constructor(
        private readonly clock: HybridClock,
        private readonly origin: EventOrigin,
        private readonly capacity: number,
    ) {
        if (!Number.isInteger(capacity) || capacity < 1) {
            throw new RangeError(`capacity must be a positive integer, not ${capacity}`);
        }
    }

    public record(event: FleetEventInput): void {
        this.lastSequence++;
        const recorded: FleetEvent = {
            ...event,
            daemon: this.origin.daemon,
            incarnation: this.origin.incarnation,
            time: this.clock.now(),
            sequence: this.lastSequence,
        };
        this.slots[this.getSlot(this.lastSequence)] = recorded;
    }

    /** The reading to send along with a message to another process. */
    public now(): HybridTime {
        return this.clock.now();
    }

    /** Takes in the reading that came with a message; see {@link HybridClock.merge}. */
    public merge(remote: HybridTime): boolean {
        return this.clock.merge(remote);
    }

    /** Kept events with a sequence number above `sequence`, oldest first; 0 gives all that are kept. */
    public listSince(sequence: number): readonly FleetEvent[] {
        const oldest = Math.max(this.lastSequence - this.capacity, sequence, 0);
        const listed: FleetEvent[] = [];
        for (let next = oldest + 1; next <= this.lastSequence; next++) {
            listed.push(this.slots[this.getSlot(next)]);
        }
        return listed;
    }

    private getSlot(sequence: number): number {
        return (sequence - 1) % this.capacity;
    }
}
