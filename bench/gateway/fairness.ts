import { computeSum, type AccountSecond } from "./promptFleet.js";

/** Fairness is looked at over spans of this length. */
const spanSeconds = 6;

/**
 * The least part of what it is owed that any account got in any span in which it was refused something each second. Owed is
 * what it asked or what the best served account got, whichever is less, second by second. Got is what was sent to engines, or what
 * began there.
 */
export function findLeastPart(
    seconds: ReadonlyMap<string, readonly AccountSecond[]>,
    counted: "served" | "begun" = "served",
): number {
    const parts = [...seconds.values()].flatMap(own =>
        own.slice(spanSeconds - 1).map((...[, from]) => computePart(own, from, seconds, counted)),
    );
    return Math.min(...parts);
}

function computePart(
    own: readonly AccountSecond[],
    from: number,
    seconds: ReadonlyMap<string, readonly AccountSecond[]>,
    counted: "served" | "begun",
): number {
    const span = own.slice(from, from + spanSeconds);
    if (span.some(second => second.admitted === second.requests)) {
        return 1;
    }
    const owed = span.map((second, index) => {
        const best = Math.max(...[...seconds.values()].map(others => others[from + index][counted]));
        return Math.min(second.asked, best);
    });
    return computeSum(span.map(second => second[counted])) / computeSum(owed);
}
