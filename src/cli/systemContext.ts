import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import { err, ok, type Result } from "neverthrow";
import type { CancellationToken } from "../base/cancellation.js";
import { SystemClock } from "../base/clock.js";
import { HttpLogService } from "../infrastructure/httpLogService.js";
import { sleepOnTimer } from "../base/sleep.js";
import { CommandFailedError, type CliError } from "./cliErrors.js";
import type { CliContext } from "./command.js";
import { DaemonDirectory } from "./daemonDirectory.js";
import { DocumentClient } from "./documentClient.js";
import { getEnvironment, loadCliSettings, readCliSecret, type CliSettings, type EnvironmentName } from "./settings.js";

/** The context of a command on an operator's machine. */
export class SystemContext implements CliContext {
    public readonly author = findUserName();
    private readonly clock = new SystemClock();

    public constructor(
        private readonly settingsFile: string | undefined,
        private readonly giveUpAfterMs: number,
        public readonly token: CancellationToken,
    ) {}

    public loadSettings(): Result<CliSettings, CliError> {
        return loadCliSettings(this.settingsFile);
    }

    public openDocument(environment: EnvironmentName): Result<DocumentClient, CliError> {
        const { clock, token, author, giveUpAfterMs } = this;
        return this.loadSettings()
            .andThen(settings => getEnvironment(settings, environment))
            .map(({ platformUrl }) => new HttpLogService({ url: platformUrl }))
            .map(
                log =>
                    new DocumentClient({ environment, log, clock, sleep: sleepOnTimer, token, author, giveUpAfterMs }),
            );
    }

    public openDaemons(environment: EnvironmentName): Result<DaemonDirectory, CliError> {
        const { clock, token } = this;
        return this.loadSettings().andThen(settings =>
            getEnvironment(settings, environment).andThen(({ platformUrl, daemons }) =>
                readCliSecret(settings).map(secret => {
                    const log = new HttpLogService({ url: platformUrl });
                    const fallbackAddresses = daemons;
                    const sleep = sleepOnTimer;
                    return new DaemonDirectory({ environment, log, secret, fallbackAddresses, clock, sleep, token });
                }),
            ),
        );
    }

    public readFile(file: string): Result<string, CliError> {
        try {
            return ok(readFileSync(file === "-" ? 0 : file, "utf8"));
        } catch (error) {
            const code = (error as NodeJS.ErrnoException).code ?? "unreadable";
            return err(new CommandFailedError(`cannot read ${file}: ${code}`));
        }
    }

    public printNote(line: string): void {
        process.stderr.write(`${line}\n`);
    }
}

function findUserName(): string {
    try {
        return userInfo().username;
    } catch {
        return "unknown";
    }
}
