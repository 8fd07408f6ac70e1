import type { FleetEvent, FleetEventInput } from "../../src/events/fleetEvent.js";
import { checkHistory, defaultHistoryBounds, type HistoryBounds } from "../../src/events/historyChecker.js";
import { mergeTimeline } from "../../src/events/mergeTimeline.js";

/** One line of a history: when, who, what; the rest by name. */
export type Line = readonly [wallMs: number, daemon: string, kind: FleetEvent["kind"], more?: Partial<FleetEventInput>];

/** Events out of lines; a daemon named `name/2` is its second incarnation. */
export function createEvents(lines: readonly Line[]): readonly FleetEvent[] {
    const sequences = new Map<string, number>();
    return lines.map(([wallMs, process, kind, more]) => {
        const [daemon, incarnation = "1"] = process.split("/");
        const sequence = (sequences.get(process) ?? 0) + 1;
        sequences.set(process, sequence);
        return { kind, time: { wallMs, counter: 0 }, daemon, incarnation: Number(incarnation), sequence, ...more };
    });
}

/** The breaches of a history, each as one line with the kinds of the events that show it. */
export function listBreaches(lines: readonly Line[], bounds: Partial<HistoryBounds> = {}): readonly string[] {
    const timeline = mergeTimeline([createEvents(lines)]);
    return checkHistory(timeline, { ...defaultHistoryBounds, ...bounds }).map(
        breach =>
            `${breach.rule}: ${breach.detail} [${breach.events.map(event => `${event.daemon} ${event.kind}`).join(", ")}]`,
    );
}
