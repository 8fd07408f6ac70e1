/** Root of the project's error classes; each layer derives its own. */
export abstract class LynxarchError extends Error {
    /** Stable, machine-readable name of what went wrong. */
    public abstract readonly code: string;

    public constructor(message: string, cause?: unknown) {
        super(message, cause === undefined ? undefined : { cause });
        this.name = new.target.name;
    }
}

/** Describes a caught value for the log: the stack of an error, or its message. */
export function describeError(error: unknown): string {
    return error instanceof Error ? (error.stack ?? error.message) : String(error);
}
