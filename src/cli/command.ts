import type { Result, ResultAsync } from "neverthrow";
import type { CancellationToken } from "../base/cancellation.js";
import type { CliError, ExitCode } from "./cliErrors.js";
import type { DaemonDirectory } from "./daemonDirectory.js";
import type { DocumentClient } from "./documentClient.js";
import type { CliSettings, EnvironmentName } from "./settings.js";

/** An option of a command. */
export interface CommandOption {
    readonly name: string;
    readonly kind: "text" | "number" | "flag";
    readonly description: string;
    /** Shown in the help and used when the option is left out. */
    readonly defaultValue?: string | number;
}

/** A command line, parsed. */
export interface Invocation {
    /** Values of the usage's `<…>` and `[…]`, in order. */
    readonly args: readonly (string | undefined)[];
    readonly options: ReadonlyMap<string, string | number | boolean>;
}

/** What a command prints: `json` with --json, else `lines`. */
export interface Report {
    readonly json: unknown;
    /** Printed with --json in place of `json`, one value a line; for reports of any length. */
    readonly jsonLines?: readonly unknown[];
    readonly lines: readonly string[];
    /** Goes to the error stream, without --json. */
    readonly notes?: readonly string[];
    readonly exitCode?: ExitCode;
}

/** What commands work with. */
export interface CliContext {
    readonly author: string;
    readonly token: CancellationToken;
    /** Errors: settings missing or faulty. */
    loadSettings(): Result<CliSettings, CliError>;
    /** Errors: settings missing or faulty. */
    openDocument(environment: EnvironmentName): Result<DocumentClient, CliError>;
    /** Errors: settings missing or faulty. */
    openDaemons(environment: EnvironmentName): Result<DaemonDirectory, CliError>;
    /** Reads a file, or standard input for "-". Errors: unreadable. */
    readFile(file: string): Result<string, CliError>;
    /** Writes to the error stream at once. */
    printNote(line: string): void;
}

/** One command of `lynxarch`; commandList.ts registers it. */
export interface Command {
    /** Words, then `<required>` and `[optional]` values. */
    readonly usage: string;
    readonly description: string;
    readonly options: readonly CommandOption[];
    run(invocation: Invocation, context: CliContext): ResultAsync<Report, CliError>;
}
