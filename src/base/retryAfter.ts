const secondsPattern = /^\d+(\.\d+)?$/;
const msPerSecond = 1_000;

/** How long a `Retry-After` header asks to wait. */
export type RetryAfter =
    | { readonly kind: "none" }
    | { readonly kind: "wait"; readonly ms: number }
    /** Neither seconds nor a date. */
    | { readonly kind: "unreadable" };

/**
 * Decodes `Retry-After` (RFC 9110, section 10.2.3), with fractions of seconds besides; of several values the longest holds. A date is
 * compared with the answer's own `Date`, which a clock that differs between machines does not distort, or else with `now`.
 */
export function decodeRetryAfter(
    header: string | readonly string[] | undefined,
    dateHeader: string | undefined,
    now: Date,
): RetryAfter {
    if (header === undefined) {
        return { kind: "none" };
    }
    const values = typeof header === "string" ? [header] : header;
    const sentAtMs = parseDate(dateHeader) ?? now.getTime();
    const waits = values.map(value => parseWait(value.trim(), sentAtMs)).filter(ms => ms !== undefined);
    return waits.length === 0 ? { kind: "unreadable" } : { kind: "wait", ms: Math.max(...waits) };
}

function parseWait(value: string, sentAtMs: number): number | undefined {
    if (secondsPattern.test(value)) {
        return Number(value) * msPerSecond;
    }
    const untilMs = parseDate(value);
    return untilMs === undefined ? undefined : Math.max(0, untilMs - sentAtMs);
}

/** An HTTP date begins with the day's name; `Date.parse` alone would also take numbers such as "-5" for years. */
function parseDate(value: string | undefined): number | undefined {
    if (value === undefined || !/^(mon|tue|wed|thu|fri|sat|sun)/i.test(value)) {
        return undefined;
    }
    const ms = Date.parse(value);
    return Number.isNaN(ms) ? undefined : ms;
}
