import { History, type HistoryBounds } from "./checks/history.js";
import { listServiceSamples, type ServiceSample } from "./checks/fairnessCheck.js";
import { buildChart, buildLanes, encodeHtml, type ChartLine, type TimeRange } from "./htmlChart.js";
import type { Timeline } from "./mergeTimeline.js";
import { describeEvent, formatGap, formatTime } from "./renderText.js";

/** The page lists and draws the newest events only, so that a browser can show it. */
const maxEvents = 5_000;

const style = `
body { font: 14px system-ui, sans-serif; margin: 24px; color: #222; background: #fff; }
h1 { font-size: 20px; } h2 { font-size: 16px; margin: 24px 0 8px; }
svg { background: #fafafa; border: 1px solid #ddd; display: block; max-width: 100%; }
svg text { font: 11px system-ui, sans-serif; fill: #444; }
.legend span { display: inline-block; margin-right: 16px; white-space: nowrap; }
.legend i { display: inline-block; width: 10px; height: 10px; border-radius: 5px; margin-right: 4px; }
.gap { color: #a33; }
table { border-collapse: collapse; font: 12px ui-monospace, monospace; }
td { padding: 1px 10px 1px 0; vertical-align: top; white-space: nowrap; }
`;

/**
 * One self-contained page: a lane for each process, the backlog and the service over weight of each account over time,
 * and the events themselves. Needs no network and no script.
 */
export function renderHtml(timeline: Timeline, bounds: HistoryBounds): string {
    const events = timeline.events.slice(-maxEvents);
    const range = { fromMs: events[0]?.time.wallMs ?? 0, toMs: events.at(-1)?.time.wallMs ?? 1 };
    const samples = listServiceSamples(new History(timeline, bounds));
    const rows = events.map(
        event =>
            `<tr><td>${formatTime(event)}</td><td>${encodeHtml(event.daemon)}</td><td>${encodeHtml(describeEvent(event))}</td></tr>`,
    );
    const left = timeline.events.length - events.length;
    return [
        "<!doctype html>",
        '<html lang="en"><head><meta charset="utf-8"><title>lynxarch time line</title>',
        `<style>${style}</style></head><body>`,
        `<h1>lynxarch time line</h1><p>${describeRange(range)}, ${timeline.events.length} events of ${countProcesses(timeline)} processes${left > 0 ? `; the newest ${maxEvents} are shown` : ""}.</p>`,
        ...timeline.gaps.map(gap => `<p class="gap">${encodeHtml(formatGap(gap))}</p>`),
        "<h2>Processes</h2>",
        buildLanes(events, range),
        "<h2>Backlog: requests taken and not started, by account</h2>",
        buildChart(
            listLines(samples, sample => sample.waiting),
            range,
        ),
        "<h2>Fairness: service given over weight, by account</h2>",
        buildChart(
            listLines(samples, sample => sample.given),
            range,
        ),
        `<h2>Events</h2><table>${rows.join("\n")}</table>`,
        "</body></html>",
        "",
    ].join("\n");
}

function listLines(
    samples: readonly ServiceSample[],
    getValue: (sample: ServiceSample) => number,
): readonly ChartLine[] {
    const lines = new Map<string, { wallMs: number; value: number }[]>();
    for (const sample of samples) {
        const name = `${sample.clientAccount} at ${sample.service}`;
        const points = lines.get(name) ?? [];
        points.push({ wallMs: sample.wallMs, value: getValue(sample) });
        lines.set(name, points);
    }
    return [...lines].map(([name, points]) => ({ name, points })).sort((a, b) => (a.name < b.name ? -1 : 1));
}

function countProcesses(timeline: Timeline): number {
    return new Set(timeline.events.map(event => `${event.daemon} ${event.incarnation}`)).size;
}

function describeRange({ fromMs, toMs }: TimeRange): string {
    return `${new Date(fromMs).toISOString()} to ${new Date(toMs).toISOString()}`;
}
