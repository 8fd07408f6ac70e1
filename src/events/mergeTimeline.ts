import type { FleetEvent } from "./fleetEvent.js";
import { compareHybridTimes } from "./hybridClock.js";

/** Events of one process that are in none of its pages: its ring was too small, or nobody asked in time. */
export interface TimelineGap {
    readonly daemon: string;
    readonly incarnation: number;
    readonly firstSequence: number;
    readonly lastSequence: number;
}

/** The events of all processes in one order. */
export interface Timeline {
    readonly events: readonly FleetEvent[];
    readonly gaps: readonly TimelineGap[];
}

/**
 * Merges pages of any processes, overlapping or not, into one order that respects causality: an event that can have
 * influenced another comes before it, as the hybrid clock's readings travel with the messages.
 */
export function mergeTimeline(pages: Iterable<readonly FleetEvent[]>): Timeline {
    const byName = new Map<string, FleetEvent>();
    for (const page of pages) {
        for (const event of page) {
            byName.set(`${event.daemon} ${event.incarnation} ${event.sequence}`, event);
        }
    }
    const events = [...byName.values()].sort(compareEvents);
    return { events, gaps: findGaps(events) };
}

/** Orders two events; processes' names break ties, so that every reader gets the same order. */
export function compareEvents(a: FleetEvent, b: FleetEvent): number {
    return (
        compareHybridTimes(a.time, b.time) ||
        compareText(a.daemon, b.daemon) ||
        a.incarnation - b.incarnation ||
        a.sequence - b.sequence
    );
}

function findGaps(events: readonly FleetEvent[]): readonly TimelineGap[] {
    const lastSeen = new Map<string, number>();
    const gaps: TimelineGap[] = [];
    for (const { daemon, incarnation, sequence } of events) {
        const process = `${daemon} ${incarnation}`;
        const before = lastSeen.get(process) ?? 0;
        if (sequence > before + 1) {
            gaps.push({ daemon, incarnation, firstSequence: before + 1, lastSequence: sequence - 1 });
        }
        lastSeen.set(process, Math.max(before, sequence));
    }
    return gaps;
}

function compareText(a: string, b: string): number {
    return a < b ? -1 : a > b ? 1 : 0;
}
