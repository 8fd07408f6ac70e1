import { err, ok, type Result } from "neverthrow";
import { CancellationTokenSource } from "../../src/base/cancellation.js";
import { ManualClock } from "../../src/base/clock.js";
import { CommandFailedError, UnavailableError, type CliError, type ExitCode } from "../../src/cli/cliErrors.js";
import type { CliContext } from "../../src/cli/command.js";
import { commandList } from "../../src/cli/commandList.js";
import type { DaemonDirectory } from "../../src/cli/daemonDirectory.js";
import { DocumentClient } from "../../src/cli/documentClient.js";
import { runProgram } from "../../src/cli/program.js";
import type { CliSettings, EnvironmentName } from "../../src/cli/settings.js";
import type { EnvironmentDocument } from "../../src/document/schema.js";
import { MemoryLogService } from "../fakes/platform/memoryLogService.js";
import { Streams } from "../fakes/platform/streams.js";

/** What one command line printed and returned. */
export interface CliRun {
    readonly exitCode: ExitCode;
    readonly output: string;
}

/** A platform in memory with operators before it; time passes only while an operator sleeps. */
export class CliFixture {
    public readonly clock = new ManualClock();
    public readonly streams: Streams;
    public readonly log: MemoryLogService;
    public readonly files = new Map<string, string>();
    /** What the last run printed, with its ids and keys. */
    public lastOutput = "";
    /** Runs whenever an operator sleeps before it tries again. */
    public onSleep: () => void = () => undefined;

    public constructor(retentionMs = 3_600_000) {
        this.streams = new Streams(() => this.clock.nowDate().getTime(), retentionMs);
        this.log = new MemoryLogService(this.streams);
    }

    /** Runs a command line; ids and keys, which differ in each run, are masked. */
    public async run(line: string, author = "ana", daemons?: DaemonDirectory): Promise<CliRun> {
        const lines: string[] = [];
        const exitCode = await runProgram(line.split(" "), {
            version: "0.0.0",
            commands: commandList,
            output: { print: text => lines.push(text), printError: text => lines.push(`(stderr) ${text}`) },
            createContext: () => this.createContext(author, daemons),
        });
        this.lastOutput = lines.join("\n");
        return { exitCode, output: formatMasked(this.lastOutput) };
    }

    /** The accepted document. */
    public async readDocument(environment: string): Promise<EnvironmentDocument> {
        return (await this.createClient(environment).readAccepted())._unsafeUnwrap().document;
    }

    /** An operator's client of an environment's document. */
    public createClient(environment: string, author = "ana", log = this.log): DocumentClient {
        const { clock } = this;
        const { token } = new CancellationTokenSource();
        const sleep = async (ms: number): Promise<void> => {
            clock.advance(ms);
            this.onSleep();
            await new Promise(resolve => setImmediate(resolve));
        };
        return new DocumentClient({ environment, log, clock, sleep, token, author, giveUpAfterMs: 15_000 });
    }

    private createContext(author: string, daemons: DaemonDirectory | undefined): CliContext {
        return {
            author,
            token: new CancellationTokenSource().token,
            loadSettings: (): Result<CliSettings, CliError> => ok({ environments: {} }),
            openDocument: (environment: EnvironmentName) => ok(this.createClient(environment, author)),
            openDaemons: () => (daemons === undefined ? err(new UnavailableError("no daemons here")) : ok(daemons)),
            readFile: file => {
                const text = this.files.get(file);
                return text === undefined ? err(new CommandFailedError(`cannot read ${file}: ENOENT`)) : ok(text);
            },
            printNote: () => undefined,
        };
    }
}

function formatMasked(text: string): string {
    return text
        .replace(/[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}/g, "ID")
        .replace(/lx_[\w-]{43}/g, "KEY")
        .replace(/[0-9a-f]{64}/g, "HASH");
}
