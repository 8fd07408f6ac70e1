#!/usr/bin/env node
import sade from "sade";
import { CancellationTokenSource } from "../base/cancellation.js";
import { CommonParts } from "./commonParts.js";
import type { Daemon } from "./daemon.js";
import { startAgent } from "./agentDaemon.js";
import { startRouter } from "./routerDaemon.js";
import { loadSettings, readSecret, type Settings } from "./settings.js";
import { readVersion } from "./version.js";

/** The settings or the command line have a fault. */
const usageExitCode = 2;
/** The daemon could not start or keep running. */
const failureExitCode = 1;

interface CommandOptions {
    readonly settings?: string;
    readonly "check-settings"?: string;
}

function main(): void {
    const program = sade("lynxarchd", true)
        .version(readVersion())
        .describe("Runs one daemon of the fleet: a router before the callers, or an agent beside a target.")
        .option("--settings", "settings file to run with (JSON; see docs/SETTINGS.md)")
        .option("--check-settings", "check a settings file and exit")
        .example("--settings /etc/lynxarch/router.json")
        .action((options: CommandOptions) => run(options));
    program.parse(process.argv);
}

function run(options: CommandOptions): void {
    const file = options["check-settings"] ?? options.settings;
    if (typeof file !== "string") {
        printFault("--settings FILE or --check-settings FILE is needed; see --help");
        return;
    }
    const settings = loadSettings(file);
    if (settings.isErr()) {
        printFault(settings.error.message);
        return;
    }
    if (options["check-settings"] !== undefined) {
        process.stdout.write(`${file}: ok\n`);
        return;
    }
    readSecret(settings.value).match(
        secret => void start(settings.value, secret),
        error => printFault(error.message),
    );
}

async function start(settings: Settings, secret: string): Promise<void> {
    const parts = new CommonParts(settings, secret, readVersion());
    const daemon = await (settings.role === "router" ? startRouter(parts, settings) : startAgent(parts, settings));
    daemon.match(
        started => stopOnSignal(started, parts, settings.stopTimeoutMs),
        error => {
            parts.logger.write("error", "the daemon cannot start", { detail: error.message });
            parts.dispose();
            process.exitCode = failureExitCode;
        },
    );
}

function stopOnSignal(daemon: Daemon, parts: CommonParts, timeoutMs: number): void {
    // Timers of the daemon do not keep the process alive by themselves; this one does until it is told to stop.
    const keepAlive = setInterval(() => undefined, 3_600_000);
    let stopping = false;
    const stop = (): void => {
        if (stopping) {
            return;
        }
        stopping = true;
        const cancellation = new CancellationTokenSource();
        const timer = setTimeout(() => cancellation.cancel(), timeoutMs);
        parts.logger.write("info", "stopping");
        void daemon.stop(cancellation.token).then(() => {
            clearTimeout(timer);
            clearInterval(keepAlive);
            parts.logger.write("info", "stopped");
            daemon.dispose();
            parts.dispose();
        });
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
}

function printFault(message: string): void {
    process.stderr.write(`lynxarchd: ${message}\n`);
    process.exitCode = usageExitCode;
}

main();
