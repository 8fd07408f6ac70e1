/** Bounds of a slowdown: time that work takes relative to the usual time. A figure beyond them is absurd. */
export const slowdownBounds = { min: 0.1, max: 20 } as const;

/** Whether the value is a possible slowdown. */
export function isSlowdown(value: number): boolean {
    return value >= slowdownBounds.min && value <= slowdownBounds.max;
}
