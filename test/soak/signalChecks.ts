import type { Breach, CallerAttempt, SoakRecord, TargetArrival } from "./records.js";
import type { RecordIndex } from "./soakChecks.js";

/** Bounds of the platform's deployments: on sends to a target whose leaving was passed on, and on sends while one pauses. */
const leavingBoundMs = 2_000;
const pauseSlackMs = 500;
const mostDuringPause = 2;
const mostCrashes = 3;
/** The platform's bounds on requests with a part that ends targets. */
const mostPartCrashes = 5;
const mostLateCrashes = 3;
const contactMs = 3_000;

interface Send {
    readonly attempt: CallerAttempt;
    readonly arrival: TargetArrival;
}

/** A router that has passed on an answer of a target that is leaving sends nothing more there, in contact or not. */
export function checkLeaving(record: SoakRecord, { calmness }: RecordIndex): readonly Breach[] {
    return listSendGroups(record).flatMap(sends => {
        const passedAtMs = Math.min(...sends.map(getPassedLeavingAtMs));
        return sends
            .filter(({ attempt }) => attempt.sentAtMs > passedAtMs + leavingBoundMs)
            .filter(({ attempt }) => !calmness.isRouterPaused(attempt.router, passedAtMs, attempt.sentAtMs))
            .map(({ attempt, arrival }) => ({
                promise: "a target that said that it is leaving gets nothing more",
                evidence: `${arrival.target} from ${attempt.router}: ${attempt.id}, ${attempt.sentAtMs - passedAtMs} ms later`,
            }));
    });
}

/** A router leaves a target alone for as long as a 503 of it asks. */
export function checkPauses(record: SoakRecord, { calmness }: RecordIndex): readonly Breach[] {
    return listSendGroups(record).flatMap(sends =>
        sends.flatMap(({ arrival: { target, atMs, pauseMs }, attempt: { router } }) => {
            const untilMs = atMs + (pauseMs ?? 0);
            const count = sends.filter(({ arrival }) => {
                return arrival.atMs > atMs + pauseSlackMs && arrival.atMs < untilMs;
            }).length;
            return count > mostDuringPause &&
                calmness.isRouterCalm(router, atMs, untilMs) &&
                !calmness.isTargetDisturbed(target, atMs, untilMs, ["target-pauses"])
                ? [{ promise: "a target that pauses is left alone", evidence: `${target} from ${router}: ${count}` }]
                : [];
        }),
    );
}

/** A request that ends targets ends no more of them than it takes to recognize it. */
export function checkFatal(record: SoakRecord, { calmness }: RecordIndex): readonly Breach[] {
    const crashes = listTimes(record, "crashed");
    return crashes.length > mostCrashes && isCalm(record, calmness, crashes)
        ? [{ promise: "a request that ends targets is recognized", evidence: `${crashes.length} targets ended` }]
        : [];
}

/** Requests that share only a part under which targets end reach few targets once the platform's bound after the fifth end has passed. */
export function checkFatalPart(record: SoakRecord, { calmness }: RecordIndex): readonly Breach[] {
    const crashes = listTimes(record, "crashed-by-part");
    const fifthAtMs = crashes.at(mostPartCrashes - 1) ?? Infinity;
    const late = crashes.filter(atMs => atMs > fifthAtMs + contactMs);
    return late.length > mostLateCrashes && isCalm(record, calmness, crashes)
        ? [{ promise: "a part that ends targets is recognized", evidence: `${late.length} of ${crashes.length} late` }]
        : [];
}

function listTimes(record: SoakRecord, kind: SoakRecord["words"][number]["kind"]): readonly number[] {
    return record.words.filter(word => word.kind === kind).map(({ atMs }) => atMs);
}

function isCalm(record: SoakRecord, calmness: RecordIndex["calmness"], timesMs: readonly number[]): boolean {
    const routers = new Set(record.attempts.map(({ router }) => router));
    return [...routers].every(router => calmness.isRouterCalm(router, Math.min(...timesMs), Math.max(...timesMs)));
}

/** Sends by target and process of a router. */
function listSendGroups(record: SoakRecord): readonly (readonly Send[])[] {
    const attempts = new Map(record.attempts.map(attempt => [attempt.id, attempt]));
    const groups = new Map<string, Send[]>();
    for (const arrival of record.arrivals) {
        const attempt = attempts.get(arrival.id ?? "");
        if (attempt !== undefined) {
            const key = `${arrival.target} ${attempt.router}#${attempt.routerStart}`;
            groups.set(key, [...(groups.get(key) ?? []), { attempt, arrival }]);
        }
    }
    return [...groups.values()];
}

function getPassedLeavingAtMs({ attempt, arrival }: Send): number {
    const isPassedOn = arrival.saysLeaving && arrival.ran && attempt.status !== undefined;
    return isPassedOn ? (attempt.endedAtMs ?? Number.POSITIVE_INFINITY) : Number.POSITIVE_INFINITY;
}
