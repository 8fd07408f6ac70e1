import type { FleetEvent } from "../fleetEvent.js";
import { type History, type HistoryBreach, type Isolation } from "./history.js";

/** No process goes back to an older document, and each has the newest within its bound. */
export function checkDocuments(history: History): readonly HistoryBreach[] {
    return [...findFallen(history), ...findLate(history)];
}

function findFallen(history: History): readonly HistoryBreach[] {
    return [...history.listProcesses().values()].flatMap(own => {
        const accepted = own.filter(event => event.kind === "document-accepted");
        return accepted.slice(1).flatMap((event, index) => {
            const before = accepted[index];
            const detail = `${event.daemon} went from offset ${before.value} to ${event.value}`;
            return (event.value ?? 0) < (before.value ?? 0)
                ? [{ rule: "document-offset" as const, detail, events: [before, event] }]
                : [];
        });
    });
}

function findLate(history: History): readonly HistoryBreach[] {
    const { documentMs, isolations } = history.bounds;
    return findFirstAccepted(history).flatMap(first =>
        [...history.listProcesses().values()].flatMap(own => {
            const [started] = own.filter(event => event.kind === "daemon-started");
            const stopping = own.find(event => event.kind === "daemon-stopping");
            if (started === undefined) {
                return [];
            }
            const dueMs = computeDueMs(
                Math.max(first.time.wallMs, started.time.wallMs),
                documentMs,
                isolations,
                own[0],
            );
            const wasThere = (own.at(-1)?.time.wallMs ?? 0) >= dueMs && (stopping?.time.wallMs ?? Infinity) >= dueMs;
            const isInForce = own.some(
                event =>
                    event.kind === "document-accepted" &&
                    (event.value ?? -1) >= (first.value ?? 0) &&
                    event.time.wallMs <= dueMs,
            );
            const detail = `${own[0].daemon} did not have offset ${first.value} in force within ${documentMs} ms`;
            return wasThere && !isInForce
                ? [{ rule: "document-offset" as const, detail, events: [first, started] }]
                : [];
        }),
    );
}

/** The bound runs anew from the end of an isolation that falls into it. */
function computeDueMs(fromMs: number, boundMs: number, isolations: readonly Isolation[], event: FleetEvent): number {
    return isolations
        .filter(isolation => isolation.daemon === event.daemon)
        .sort((a, b) => a.fromMs - b.fromMs)
        .reduce(
            (dueMs, isolation) =>
                isolation.fromMs <= dueMs && isolation.toMs >= fromMs ? isolation.toMs + boundMs : dueMs,
            fromMs + boundMs,
        );
}

function findFirstAccepted(history: History): readonly FleetEvent[] {
    const byOffset = new Map<number | undefined, FleetEvent>();
    for (const event of history.listKind("document-accepted")) {
        if (!byOffset.has(event.value)) {
            byOffset.set(event.value, event);
        }
    }
    return [...byOffset.values()];
}
