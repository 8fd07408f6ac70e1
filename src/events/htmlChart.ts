import type { FleetEvent } from "./fleetEvent.js";
import { describeEvent, formatTime } from "./renderText.js";

/** What a picture's horizontal axis shows; milliseconds since 1970. */
export interface TimeRange {
    readonly fromMs: number;
    readonly toMs: number;
}

/** One line of a chart; it keeps its value from each point to the next. */
export interface ChartLine {
    readonly name: string;
    readonly points: readonly { readonly wallMs: number; readonly value: number }[];
}

const width = 1_200;
const labelWidth = 170;
const laneHeight = 26;
const chartHeight = 220;
const margin = 14;
const axisHeight = 24;
const tickCount = 6;
const lineColours = ["#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf", "#8c564b", "#e377c2"];
/** Colours of events by what they mean for a request or a process. */
const kindGroups = [
    { name: "taken, queued, offered", colour: "#8aa", kinds: ["request-accepted", "request-queued", "request-sent"] },
    { name: "started", colour: "#1f77b4", kinds: ["request-started", "target-run"] },
    {
        name: "ended, answered",
        colour: "#2ca02c",
        kinds: ["request-ended", "answer-sent", "answer-delivered", "key-replayed"],
    },
    {
        name: "refused, given back, retried",
        colour: "#d62728",
        kinds: ["request-refused", "request-withdrawn", "request-retried", "request-cancelled"],
    },
    { name: "document", colour: "#9467bd", kinds: ["document-accepted", "document-rejected"] },
    { name: "process, phase, window", colour: "#ff7f0e", kinds: [] },
] as const;

/** Text that is safe in HTML and in attributes: request ids and names come from outside. */
export function encodeHtml(text: string): string {
    return text.replace(/[&<>"']/g, character => `&#${character.charCodeAt(0)};`);
}

/** A lane for each process with its events as dots; pointing at one tells it. */
export function buildLanes(events: readonly FleetEvent[], range: TimeRange): string {
    const processes = [...new Set(events.map(getProcess))].sort();
    const height = processes.length * laneHeight + axisHeight;
    const lanes = processes.map((name, index) => {
        const y = index * laneHeight + laneHeight / 2;
        return `<line x1="${labelWidth}" x2="${width}" y1="${y}" y2="${y}" stroke="#ddd"/><text x="6" y="${y + 4}">${encodeHtml(name)}</text>`;
    });
    const dots = events.map(event => {
        const y = processes.indexOf(getProcess(event)) * laneHeight + laneHeight / 2;
        const title = encodeHtml(`${formatTime(event)} ${describeEvent(event)}`);
        return `<circle cx="${toX(event.time.wallMs, range)}" cy="${y}" r="4" fill="${findColour(event)}" fill-opacity="0.7"><title>${title}</title></circle>`;
    });
    const legend = kindGroups.map(group => formatLegend(group.name, group.colour));
    return `${buildSvg(height, [...lanes, buildAxis(range, height), ...dots])}<p class="legend">${legend.join("")}</p>`;
}

/** Step lines over time, with a legend. */
export function buildChart(lines: readonly ChartLine[], range: TimeRange): string {
    const most = Math.max(1, ...lines.flatMap(line => line.points.map(point => point.value)));
    const toY = (value: number): number =>
        computeRounded(chartHeight - axisHeight - (value / most) * (chartHeight - axisHeight - margin));
    const drawn = lines.map((line, index) => {
        const steps = line.points
            .filter(point => point.wallMs >= range.fromMs)
            .map(point => `H${toX(point.wallMs, range)}V${toY(point.value)}`);
        const start = line.points.findLast(point => point.wallMs < range.fromMs)?.value ?? 0;
        return `<path d="M${labelWidth} ${toY(start)}${steps.join("")}H${width - margin}" fill="none" stroke="${getLineColour(index)}" stroke-width="1.5"/>`;
    });
    const scale = [0, most / 2, most].map(value => `<text x="6" y="${toY(value) + 4}">${formatNumber(value)}</text>`);
    const legend = lines.map((line, index) => formatLegend(line.name, getLineColour(index)));
    return `${buildSvg(chartHeight, [buildAxis(range, chartHeight), ...scale, ...drawn])}<p class="legend">${legend.join("")}</p>`;
}

function buildSvg(height: number, parts: readonly string[]): string {
    return `<svg viewBox="0 0 ${width} ${height}" width="${width}" height="${height}" role="img">${parts.join("\n")}</svg>`;
}

function buildAxis(range: TimeRange, height: number): string {
    const ticks = Array.from({ length: tickCount }, (...[, index]) => {
        const wallMs = range.fromMs + ((range.toMs - range.fromMs) * index) / (tickCount - 1);
        const x = toX(wallMs, range);
        const anchor = index === tickCount - 1 ? "end" : "middle";
        const text = `+${formatNumber((wallMs - range.fromMs) / 1_000)} s`;
        return `<line x1="${x}" x2="${x}" y1="0" y2="${height - axisHeight}" stroke="#eee"/><text x="${x}" y="${height - 8}" text-anchor="${anchor}">${text}</text>`;
    });
    return ticks.join("");
}

function toX(wallMs: number, range: TimeRange): number {
    const share = (wallMs - range.fromMs) / Math.max(1, range.toMs - range.fromMs);
    return computeRounded(labelWidth + share * (width - labelWidth - margin));
}

function findColour(event: FleetEvent): string {
    const group = kindGroups.find(candidate => candidate.kinds.some(kind => kind === event.kind));
    return (group ?? kindGroups[kindGroups.length - 1]).colour;
}

function getLineColour(index: number): string {
    return lineColours[index % lineColours.length];
}

function formatLegend(name: string, colour: string): string {
    return `<span><i style="background:${colour}"></i>${encodeHtml(name)}</span>`;
}

function formatNumber(value: number): string {
    return String(computeRounded(value));
}

function computeRounded(value: number): number {
    return Math.round(value * 10) / 10;
}

function getProcess(event: FleetEvent): string {
    return `${event.daemon} / ${event.incarnation % 100_000}`;
}
