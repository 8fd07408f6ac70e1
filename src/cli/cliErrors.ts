import { LynxarchError } from "../base/errors.js";

/** Exit codes of `lynxarch`; docs/CLI.md lists them. */
export enum ExitCode {
    Ok = 0,
    /** The command could not do what was asked; nothing was changed. */
    Failed = 1,
    /** The command line or the settings file has a fault. */
    Usage = 2,
    /** Another operator's change came first; nothing was changed. */
    Conflict = 3,
    /** The platform does not answer; the message says what is known of a change. */
    Unavailable = 4,
}

/** An error that ends a command. */
export abstract class CliError extends LynxarchError {
    public abstract readonly exitCode: ExitCode;
}

/** The command could not do what was asked. */
export class CommandFailedError extends CliError {
    public readonly code = "failed";
    public readonly exitCode = ExitCode.Failed;
}

/** The command line has a fault. */
export class UsageError extends CliError {
    public readonly code = "usage";
    public readonly exitCode = ExitCode.Usage;
}

/** The settings file has a fault. */
export class CliSettingsError extends CliError {
    public readonly code = "settings-invalid";
    public readonly exitCode = ExitCode.Usage;
}

/** Another operator's change came first. */
export class ConflictError extends CliError {
    public readonly code = "conflict";
    public readonly exitCode = ExitCode.Conflict;
}

/** The platform does not answer. */
export class UnavailableError extends CliError {
    public readonly code = "platform-unavailable";
    public readonly exitCode = ExitCode.Unavailable;
}

/** The platform did not answer in time, so nobody can say yet whether the change is in force. */
export class OutcomeUnknownError extends CliError {
    public readonly code = "outcome-unknown";
    public readonly exitCode = ExitCode.Unavailable;

    public constructor(
        public readonly changeId: string,
        cause?: unknown,
    ) {
        super(
            `the platform does not answer; it is unknown whether the change takes effect. ` +
                `Ask later with: lynxarch document history --id ${changeId}`,
            cause,
        );
    }
}
