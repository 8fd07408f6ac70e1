/** The ten points under "What must always hold" in the users' brief, in its order. */
export const points = [
    "bounded gap in service between backlogged accounts",
    "no account starves",
    "a cold target gets no more than it can bear",
    "a data centre out gets no new work after 3 s",
    "whole answers to the right caller",
    "a refusal that says not run is true",
    "at most once",
    "a leaving target gets no new work after 3 s",
    "a planned stop cuts off no request",
    "an accepted document is in force within 5 s and never reverts",
] as const;

/** Number of a point, from 1 as in the brief's order. */
export type PointNumber = 1 | 2 | 3 | 4 | 5 | 6 | 7 | 8 | 9 | 10;

/** A point that did not hold, with what shows it. */
export interface Breach {
    readonly point: PointNumber;
    readonly evidence: string;
}
