/** Whether a decoded value is a number, and neither infinite nor NaN. */
export function isFiniteNumber(value: unknown): value is number {
    return Number.isFinite(value);
}

/** Whether a decoded value is a finite number of 0 or more. */
export function isNonNegativeNumber(value: unknown): value is number {
    return typeof value === "number" && value >= 0 && value < Number.POSITIVE_INFINITY;
}

/** Whether a decoded value is a safe integer of 0 or more. */
export function isCount(value: unknown): value is number {
    return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Whether a decoded value is a non-empty string. */
export function isNonEmptyString(value: unknown): value is string {
    return typeof value === "string" && value.length > 0;
}
