import { err, ok, type Result } from "neverthrow";
import sade from "sade";
import { ExitCode, UsageError, type CliError } from "./cliErrors.js";
import type { CliContext, Command, CommandOption, Invocation, Report } from "./command.js";

/** Where the program writes. */
export interface Output {
    print(line: string): void;
    printError(line: string): void;
}

/** What {@link runProgram} needs. */
export interface ProgramOptions {
    readonly version: string;
    readonly commands: readonly Command[];
    readonly output: Output;
    /** Makes the context once the common options are known. */
    createContext(common: CommonOptions): CliContext;
}

/** Options that every command takes. */
export interface CommonOptions {
    readonly settingsFile: string | undefined;
    /** How long to try while the platform does not answer; milliseconds. */
    readonly giveUpAfterMs: number;
}

interface ParsedCommand {
    readonly command: Command;
    readonly invocation: Invocation;
    readonly common: CommonOptions;
}

const millisecondsPerSecond = 1_000;
const settingsOption: CommandOption = {
    name: "settings",
    kind: "text",
    description: "Settings file; LYNXARCH_SETTINGS when left out",
};
const timeoutOption: CommandOption = {
    name: "timeout",
    kind: "number",
    description: "Seconds to try while the platform does not answer",
    defaultValue: 15,
};
const jsonOption: CommandOption = { name: "json", kind: "flag", description: "Print JSON" };

/** Runs one command line (without the interpreter and the script); returns the exit code. */
export async function runProgram(args: readonly string[], options: ProgramOptions): Promise<ExitCode> {
    const isJson = args.includes("--json");
    const parsed = parseCommandLine(args, options);
    if (parsed === undefined) {
        return ExitCode.Ok;
    }
    const outcome = parsed.isErr() ? err(parsed.error) : await runCommand(parsed.value, options);
    if (outcome.isErr()) {
        printFailure(outcome.error, isJson, options.output);
        return outcome.error.exitCode;
    }
    printReport(outcome.value, isJson, options.output);
    return outcome.value.exitCode ?? ExitCode.Ok;
}

async function runCommand(parsed: ParsedCommand, options: ProgramOptions): Promise<Result<Report, CliError>> {
    return parsed.command.run(parsed.invocation, options.createContext(parsed.common));
}

/** Undefined when the library has printed a help or the version. */
function parseCommandLine(
    args: readonly string[],
    options: ProgramOptions,
): Result<ParsedCommand, UsageError> | undefined {
    const program = buildProgram(options);
    const flags = options.commands.flatMap(command => command.options).filter(option => option.kind === "flag");
    const texts = options.commands.flatMap(command => command.options).filter(option => option.kind !== "flag");
    const parsed = runParser(() =>
        program.parse(["node", "lynxarch", ...args], {
            lazy: true,
            boolean: [jsonOption, ...flags].map(option => option.name),
            string: [settingsOption, timeoutOption, ...texts].map(option => option.name),
            // Without this, a mistyped option would be taken for one that was left out.
            unknown: flag => {
                throw new UsageError(`unknown option ${flag}`);
            },
        }),
    );
    return parsed.isErr()
        ? err(parsed.error)
        : parsed.value && resolveParsed(parsed.value.name, parsed.value.args, options.commands);
}

/** The library ends the process with 1 at a faulty command line; ours says 2 for that. */
function runParser<T>(parse: () => T): Result<T, UsageError> {
    const onExit = (): void => {
        process.exitCode = ExitCode.Usage;
    };
    process.once("exit", onExit);
    try {
        return ok(parse());
    } catch (error) {
        if (error instanceof UsageError) {
            return err(error);
        }
        throw error;
    } finally {
        process.removeListener("exit", onExit);
    }
}

function resolveParsed(
    name: string,
    values: readonly unknown[],
    commands: readonly Command[],
): Result<ParsedCommand, UsageError> {
    const command = commands.find(candidate => getWords(candidate) === name);
    const given = values.at(-1) as Record<string, unknown> & { _: readonly string[] };
    if (command === undefined) {
        const rest = given._.length === 0 ? "needs a further word" : `does not know "${given._[0]}"`;
        return err(new UsageError(`"${name}" ${rest}; see lynxarch --help`));
    }
    if (given._.length > 0) {
        return err(new UsageError(`unexpected argument "${given._[0]}"`));
    }
    const texts = values.slice(0, -1).map(value => (value === undefined ? undefined : String(value)));
    return readOptions([...command.options, settingsOption, timeoutOption], given).map(parsedOptions => ({
        command,
        invocation: { args: texts, options: parsedOptions },
        common: {
            settingsFile: parsedOptions.get("settings")?.toString(),
            giveUpAfterMs: Number(parsedOptions.get("timeout")) * millisecondsPerSecond,
        },
    }));
}

function readOptions(
    options: readonly CommandOption[],
    given: Readonly<Record<string, unknown>>,
): Result<ReadonlyMap<string, string | number | boolean>, UsageError> {
    const values = new Map<string, string | number | boolean>();
    for (const option of options) {
        const value = given[option.name];
        const text = value === undefined || value === "" ? option.defaultValue : value;
        if (option.kind === "flag") {
            values.set(option.name, value === true);
        } else if (text !== undefined && option.kind === "text") {
            values.set(option.name, String(text));
        } else if (text !== undefined) {
            const number = Number(text);
            if (!Number.isFinite(number)) {
                return err(new UsageError(`--${option.name} must be a number`));
            }
            values.set(option.name, number);
        }
    }
    return ok(values);
}

function buildProgram(options: ProgramOptions): sade.Sade {
    const program = sade("lynxarch").version(options.version);
    program.describe("Operates a lynxarch fleet: its document, its daemons and their time line.");
    const groups = new Set(options.commands.map(getWords).filter(words => words.includes(" ")));
    for (const group of new Set([...groups].map(words => words.split(" ")[0]))) {
        program.command(group, describeGroup(group, options.commands));
    }
    for (const command of options.commands) {
        program.command(command.usage, command.description);
        for (const option of [...command.options, settingsOption, timeoutOption, jsonOption]) {
            program.option(`--${option.name}`, option.description, option.defaultValue);
        }
    }
    return program;
}

function describeGroup(group: string, commands: readonly Command[]): string {
    const words = commands.map(getWords).filter(name => name.startsWith(`${group} `));
    return `Commands: ${words.map(name => name.slice(group.length + 1)).join(", ")}`;
}

/** The words of a command's name. */
function getWords(command: Command): string {
    return command.usage
        .split(" ")
        .filter(word => !/^[<[]/.test(word))
        .join(" ");
}

function printReport(report: Report, isJson: boolean, output: Output): void {
    if (isJson) {
        (report.jsonLines ?? [report.json]).forEach(value => output.print(JSON.stringify(value)));
    } else {
        report.notes?.forEach(line => output.printError(line));
        report.lines.forEach(line => output.print(line));
    }
}

function printFailure(error: CliError, isJson: boolean, output: Output): void {
    if (isJson) {
        output.print(JSON.stringify({ error: { code: error.code, message: error.message, exitCode: error.exitCode } }));
    } else {
        output.printError(`lynxarch: ${error.message}`);
    }
}
