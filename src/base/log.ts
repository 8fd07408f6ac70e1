import "./enableRoarr.js";
import { Roarr } from "roarr";

/** Levels in rising order of weight. */
export const logLevels = ["debug", "info", "warn", "error"] as const;
/** How weighty a log line is. */
export type LogLevel = (typeof logLevels)[number];
/** Fields of a log line; never a secret, an API key or prompt text. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log lines. */
export interface Logger {
    write(level: LogLevel, message: string, fields?: LogFields): void;
}

/** JSON lines on standard output through roarr. */
export class RoarrLogger implements Logger {
    private readonly child: typeof Roarr;
    private readonly leastLevel: number;

    public constructor(daemonId: string, level: LogLevel) {
        this.child = Roarr.child({ daemon: daemonId });
        this.leastLevel = logLevels.indexOf(level);
    }

    public write(level: LogLevel, message: string, fields: LogFields = {}): void {
        if (logLevels.indexOf(level) < this.leastLevel) {
            return;
        }
        // The message goes through %s, so that a percent sign in it is never read as a format.
        this.child[level]({ ...fields }, "%s", message);
    }
}

/** Drops every line. */
export class NoopLogger implements Logger {
    public write(): void {
        // For tests.
    }
}

/** Sends roarr's lines through an output of our own; see {@link RoarrLogger}. */
export function setLogOutput(writeLine: (line: string) => void): void {
    const state = (globalThis as unknown as { readonly ROARR: { write: (line: string) => void } }).ROARR;
    state.write = writeLine;
}
