import { readFileSync } from "node:fs";
import sade from "sade";
import { SystemClock } from "../src/base/clock.js";
import { RoarrLogger, setLogOutput } from "../src/base/log.js";
import { LogOutput } from "../src/base/logOutput.js";
import { SystemRandom } from "../src/base/random.js";
import { sleepOnTimer } from "../src/base/sleep.js";
import { GatewayDaemon } from "../src/gateway/gatewayDaemon.js";
import { LoadMonitor } from "../src/gateway/loadMonitor.js";
import { SettingsWatcher } from "../src/gateway/settingsWatcher.js";
import { parseGatewaySettings, type GatewaySettings } from "../src/gateway/settings.js";
import { HttpEngineInspector } from "../platform/httpEngineInspector.js";
import { PlatformHeaders } from "../platform/headers.js";
import { readinessPath, settingsPathVariable } from "../platform/settingsFile.js";
import { StoreClient } from "../platform/storeClient.js";
import { StoreFeed } from "../platform/storeFeed.js";

/** Exit code for invalid settings or command-line options. */
const usageExitCode = 2;
/** Exit code if the daemon fails to start. */
const failureExitCode = 1;

interface CommandOptions {
    readonly settings?: string;
    readonly "check-settings"?: string;
}

function main(): void {
    sade("lynxarch-router", true)
        .describe("Runs the router on the users' platform; it sends requests directly to targets.")
        .option("--settings", `settings file (JSON); default: the file that ${settingsPathVariable} names`)
        .option("--check-settings", "check a settings file and exit")
        .action((options: CommandOptions) => run(options))
        .parse(process.argv);
}

function run(options: CommandOptions): void {
    const file = options["check-settings"] ?? options.settings ?? process.env[settingsPathVariable];
    if (typeof file !== "string") {
        printError(`either --settings FILE or the environment variable ${settingsPathVariable} is required`);
        return;
    }
    readSettings(file).match(
        settings => {
            if (options["check-settings"] !== undefined) {
                process.stdout.write(`${file}: ok\n`);
            } else {
                void start(settings, file);
            }
        },
        error => printError(error.message),
    );
}

function readSettings(file: string): ReturnType<typeof parseGatewaySettings> {
    return parseGatewaySettings(() => readFileSync(file, "utf8"), file);
}

async function start(settings: GatewaySettings, file: string): Promise<void> {
    const clock = new SystemClock();
    const random = new SystemRandom();
    const output = new LogOutput(count =>
        JSON.stringify({ context: { daemon: settings.daemonId, count }, message: "log lines dropped" }),
    );
    setLogOutput(line => output.write(line));
    const logger = new RoarrLogger(settings.daemonId, settings.logLevel);
    const { drainMs, contactMs, applyMs, heartbeatMs } = settings;
    const { address } = settings.store;
    const source = new StoreFeed({
        client: new StoreClient(address),
        clock,
        random,
        sleep: sleepOnTimer,
        logger,
        drainMs,
        contactMs,
        applyMs,
        heartbeatMs,
    });
    const codec = new PlatformHeaders();
    const engines = new HttpEngineInspector(clock);
    const load = new LoadMonitor(clock, logger);
    const daemon = new GatewayDaemon({ settings, clock, random, logger, codec, source, engines, load, readinessPath });
    process.on("SIGTERM", () => {
        void daemon.stop().then(() => {
            daemon.dispose();
            output.dispose();
            process.exit(0);
        });
    });
    const watcher = new SettingsWatcher(file, logger, changed => daemon.applySettings(changed));
    process.on("SIGHUP", () => {
        logger.write("info", "received SIGHUP; reading the settings again");
        watcher.read();
    });
    try {
        await daemon.start();
        watcher.start();
    } catch (error) {
        logger.write("error", "daemon failed to start", {
            detail: error instanceof Error ? error.message : String(error),
        });
        process.exit(failureExitCode);
    }
}

function printError(message: string): void {
    process.stderr.write(`lynxarch-router: ${message}\n`);
    process.exitCode = usageExitCode;
}

main();
