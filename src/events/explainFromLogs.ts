/** One line of a daemon's log. */
export interface LogLine {
    readonly daemon: string;
    /** Wall-clock time; milliseconds since 1970. */
    readonly timeMs: number;
    readonly message: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** What log files tell of one request. */
export interface LogExplanation {
    readonly requestId: string;
    /** The request's own lines. */
    readonly own: readonly LogLine[];
    /** What the same daemon came to believe shortly before and after, about the targets that were tried or about the platform. */
    readonly around: readonly LogLine[];
    /** In words. */
    readonly cause: string;
}

/** Beliefs older than this seldom decide a request that ran for seconds at most. */
const aroundMs = 5_000;

const causes: Readonly<Record<string, string>> = {
    late: "the engines had too much to read for it to be in time; it did not run",
    "over-share": "its client account had had its fair share, and others were waiting; it did not run",
    "no-target": "no target could take it: gone, leaving, cold, paused or in a data centre that is out; it did not run",
    "no-configuration": "the router had no configuration yet; it did not run",
    busy: "the router was too slow for what reached it; it did not run",
    stopping: "the router was stopping; it did not run",
    "router-stopped": "the router stopped before its response was complete; it may have run",
    "no-route": "no route of the configuration in force takes it",
    "unknown-key": "the configuration in force has no client account with its key",
    "body-too-large": "its body is larger than the configuration allows",
    "target-broke": "its target broke off; it may have run",
};

const deciders: Readonly<Record<string, string>> = {
    owner: "an engine's owner",
    beliefs: "the router's own beliefs, as no owner answered",
    memory: "an owner's denial just before, which the router remembered",
};

/** Reads JSON lines; text before the first brace, as a collector puts it, and lines of other forms are left aside. */
export function parseLogLines(text: string): readonly LogLine[] {
    return text.split("\n").flatMap(line => {
        const start = line.indexOf("{");
        const parsed = start < 0 ? undefined : parseLine(line.slice(start));
        return parsed === undefined ? [] : [parsed];
    });
}

/** Tells a request's way by the logs of several daemons; undefined when no line names it. */
export function explainFromLogs(lines: readonly LogLine[], requestId: string): LogExplanation | undefined {
    const own = lines.filter(line => line.fields["requestId"] === requestId);
    const last = own[own.length - 1];
    if (last === undefined) {
        return undefined;
    }
    const tried = String(last.fields["tried"] ?? "");
    const target = String(last.fields["target"] ?? "");
    const tookMs = Number(last.fields["tookMs"] ?? 0);
    const around = lines.filter(line => {
        const named = line.fields["target"];
        const concerns =
            named === undefined
                ? line.fields["route"] === undefined
                : named === target || tried.includes(String(named));
        const accounts = line.fields["accounts"];
        const isOfOthers = accounts !== undefined && !hasAccount(accounts, last.fields["account"]);
        const isNear = line.timeMs >= last.timeMs - tookMs - aroundMs && line.timeMs <= last.timeMs + aroundMs;
        return (
            line.daemon === last.daemon && line.fields["requestId"] === undefined && concerns && !isOfOthers && isNear
        );
    });
    return { requestId, own, around, cause: describeCause(last) };
}

/** The explanation for people. */
export function renderLogExplanation(explanation: LogExplanation): readonly string[] {
    const format = (line: LogLine): string => {
        const time = new Date(line.timeMs).toISOString();
        const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${String(value)}`);
        return `  ${time} ${line.daemon}: ${line.message} ${fields.join(" ")}`;
    };
    return [
        `${explanation.requestId}: ${explanation.cause}`,
        "its own lines:",
        ...explanation.own.map(format),
        "what its router came to believe around that time:",
        ...explanation.around.map(format),
    ];
}

function describeCause(line: LogLine): string {
    const { outcome, reason, target, tried, expectedMs, tokensAhead, shareUse, surplusUse } = line.fields;
    const numbers = `expected ${String(expectedMs)} ms behind ${String(tokensAhead)} prompt tokens, share used ${String(shareUse)}${
        surplusUse === undefined ? "" : `, of what is left over ${String(surplusUse)}`
    }`;
    switch (outcome) {
        case "answered":
            return `answered by ${String(target)} (tried ${String(tried)})${describeLateness(line)}`;
        case "refused":
            return `refused: ${causes[String(reason)] ?? String(reason)} (${numbers}${describeDecision(line)})`;
        case "left":
            return `its caller left while ${String(target)} worked on it (${numbers})`;
        case "timeout":
            return `not answered in time by ${String(target)}: ${String(reason)} (tried ${String(tried)}; ${numbers})`;
        default:
            return `${String(outcome)}: ${String(reason)} (tried ${String(tried)})`;
    }
}

/** What refused a prompt and how long that took; empty where no owner had to be asked. */
function describeDecision({ fields }: LogLine): string {
    const source = deciders[String(fields["decidedBy"])];
    return source === undefined ? "" : `; decided by ${source}, ${String(fields["decisionMs"])} ms after it came`;
}

/** Whether a line on several accounts has an entry of this one. */
function hasAccount(accounts: unknown, account: unknown): boolean {
    return String(accounts)
        .split("; ")
        .some(entry => entry.startsWith(`${String(account)} `));
}

/** By what an answer missed its route's objectives; empty when it kept them. */
function describeLateness({ fields }: LogLine): string {
    const { timeliness, firstOutputMs, objectiveMs, longestPauseMs, pauseObjectiveMs } = fields;
    const read = `${String(fields["newTokens"])} prompt tokens to read, ${String(fields["fetchedTokens"] ?? 0)} to copy`;
    switch (timeliness) {
        case "late-first-output":
            return `, late: first output after ${String(firstOutputMs)} ms for ${String(objectiveMs)} (expected ${String(fields["expectedMs"])}; ${read})`;
        case "late-pause":
            return `, late: a pause of ${String(longestPauseMs)} ms for ${String(pauseObjectiveMs)}, as its engine read other prompts or stood still`;
        default:
            return "";
    }
}

function parseLine(text: string): LogLine | undefined {
    try {
        const { context, message, time } = JSON.parse(text) as {
            readonly context?: Record<string, unknown>;
            readonly message?: unknown;
            readonly time?: unknown;
        };
        if (context === undefined || typeof message !== "string" || typeof time !== "number") {
            return undefined;
        }
        const fields = Object.fromEntries(
            Object.entries(context).filter(([name]) => name !== "daemon" && name !== "logLevel"),
        );
        return { daemon: String(context["daemon"]), timeMs: time, message, fields };
    } catch {
        // Not a line of a daemon, or one that was cut off when its process was killed.
        return undefined;
    }
}
