import type { FleetEvent } from "./fleetEvent.js";
import type { Timeline, TimelineGap } from "./mergeTimeline.js";

const counterDigits = 2;

/** A time line as lines of text, one event each; gaps first. */
export function renderText(timeline: Timeline): readonly string[] {
    const processWidth = Math.max(0, ...timeline.events.map(event => event.daemon.length));
    return [
        ...timeline.gaps.map(formatGap),
        ...timeline.events.map(
            event => `${formatTime(event)}  ${event.daemon.padEnd(processWidth)}  ${describeEvent(event)}`,
        ),
    ];
}

/** Says which events are missing. */
export function formatGap(gap: TimelineGap): string {
    const count = gap.lastSequence - gap.firstSequence + 1;
    return `(${count} events of ${gap.daemon}, incarnation ${gap.incarnation}, are no longer kept)`;
}

/** Date and counter of an event's hybrid time; the counter tells apart what happened in one millisecond. */
export function formatTime(event: FleetEvent): string {
    return `${new Date(event.time.wallMs).toISOString()}.${String(event.time.counter).padStart(counterDigits, "0")}`;
}

/** An event without its time and process, in one line. */
export function describeEvent(event: FleetEvent): string {
    const fields: readonly (readonly [string, unknown])[] = [
        ["request", event.requestId],
        ["account", event.clientAccount],
        ["service", event.service],
        ["target", event.target],
        ["data centre", event.dataCentre],
        ["execution", event.execution],
        ["value", event.value],
        ["reason", event.reason],
    ];
    const told = fields.filter(([, value]) => value !== undefined).map(([name, value]) => `${name}=${String(value)}`);
    return [event.kind, ...told].join("  ");
}
