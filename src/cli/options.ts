import { err, ok, type Result } from "neverthrow";
import { parseDocument } from "../document/parseDocument.js";
import type { EnvironmentDocument } from "../document/schema.js";
import { CommandFailedError, UsageError, type CliError } from "./cliErrors.js";
import type { CliContext, CommandOption, Invocation } from "./command.js";
import { environmentNames, type EnvironmentName } from "./settings.js";

/** The option that names the environment. */
export function buildEnvironmentOption(defaultValue: EnvironmentName): CommandOption {
    return { name: "environment", kind: "text", description: "trial or production", defaultValue };
}

/** Makes a change wait until it is in force on the daemons. */
export const waitOption: CommandOption = {
    name: "wait",
    kind: "flag",
    description: "Wait until every reachable daemon has the change in force",
};

/** The environment named on the command line. Errors: unknown name. */
export function getEnvironmentName(invocation: Invocation): Result<EnvironmentName, UsageError> {
    const name = invocation.options.get("environment");
    const known = environmentNames.find(candidate => candidate === name);
    return known === undefined
        ? err(new UsageError(`--environment must be one of ${environmentNames.join(", ")}`))
        : ok(known);
}

/** A value of the usage's `<…>`; the command-line parser has seen to it that it is there. */
export function getArgument(invocation: Invocation, index: number): string {
    return invocation.args[index] ?? "";
}

/** Text of an option, if given. */
export function getText(invocation: Invocation, name: string): string | undefined {
    const value = invocation.options.get(name);
    return typeof value === "string" ? value : undefined;
}

/** Number of an option, if given. */
export function getNumber(invocation: Invocation, name: string): number | undefined {
    const value = invocation.options.get(name);
    return typeof value === "number" ? value : undefined;
}

/** Whether a flag is set. */
export function hasFlag(invocation: Invocation, name: string): boolean {
    return invocation.options.get(name) === true;
}

/** Reads and checks a document's file. Errors: unreadable; each fault with its path. */
export function readDocumentFile(file: string, context: CliContext): Result<EnvironmentDocument, CliError> {
    return context
        .readFile(file)
        .andThen(text => parseDocument(text).mapErr(error => new CommandFailedError(`${file}:\n${error.message}`)));
}
