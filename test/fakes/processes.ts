import { spawn, type ChildProcess } from "node:child_process";
import { createServer } from "node:net";
import { fileURLToPath } from "node:url";
import { createInterface } from "node:readline";
import { selectPortBlock } from "./portBlock.js";

/** Root of the checkout. */
export const rootFolder = fileURLToPath(new URL("../../", import.meta.url));

const logLinesKept = 2_000;
/** Below the range that outgoing connections are given. */
const { firstPort, count: portCount } = selectPortBlock(20_000, 12_000);
let nextPortIndex = 0;

/** A loopback port that nobody listens on. */
export async function findFreePort(): Promise<number> {
    for (let tries = 0; tries < portCount; tries++) {
        nextPortIndex = (nextPortIndex + 1) % portCount;
        const port = firstPort + nextPortIndex;
        if (await isFree(port)) {
            return port;
        }
    }
    throw new Error("no free port");
}

function isFree(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}

/** How a process ended. */
export interface ProcessExit {
    readonly code: number | undefined;
    readonly signal: NodeJS.Signals | undefined;
}

/** A child process with its output; signalled only by the id it was started with. */
export class ManagedProcess {
    private readonly lines: string[] = [];
    private readonly lineListeners = new Set<(line: string) => void>();
    private exit: ProcessExit | undefined;
    /** Resolves when the process has ended. */
    public readonly exited: Promise<ProcessExit>;

    public constructor(
        public readonly name: string,
        private readonly child: ChildProcess,
    ) {
        for (const output of [child.stdout, child.stderr]) {
            if (output) {
                createInterface({ input: output }).on("line", line => this.addLine(line));
            }
        }
        this.exited = new Promise(resolve => {
            child.once("exit", (code, signal) => {
                this.exit = { code: code ?? undefined, signal: signal ?? undefined };
                resolve(this.exit);
            });
        });
    }

    public get pid(): number | undefined {
        return this.child.pid;
    }

    public get isRunning(): boolean {
        return this.exit === undefined;
    }

    /** Sends a signal; nothing happens when the process has ended. */
    public send(signal: NodeJS.Signals): void {
        if (this.isRunning) {
            this.child.kill(signal);
        }
    }

    /** The newest lines of standard output and error. */
    public listLines(): readonly string[] {
        return this.lines;
    }

    /** Resolves with the first line that matches, also one that came already; rejects if the process ends first. */
    public waitForLine(pattern: RegExp, timeoutMs = 20_000): Promise<RegExpExecArray> {
        return new Promise((resolve, reject) => {
            const onLine = (line: string): boolean => {
                const match = pattern.exec(line) ?? undefined;
                if (match !== undefined) {
                    clear();
                    resolve(match);
                }
                return match !== undefined;
            };
            const fail = (what: string): void => {
                clear();
                reject(new Error(`${this.name}: ${what}; last lines:\n${this.lines.slice(-10).join("\n")}`));
            };
            const timer = setTimeout(() => fail(`no line ${String(pattern)} within ${timeoutMs} ms`), timeoutMs);
            const clear = (): void => {
                clearTimeout(timer);
                this.lineListeners.delete(onLine);
            };
            if (!this.lines.some(onLine)) {
                this.lineListeners.add(onLine);
                void this.exited.then(exit => fail(`ended with ${exit.code ?? exit.signal}`));
            }
        });
    }

    private addLine(line: string): void {
        this.lines.push(line);
        if (this.lines.length > logLinesKept) {
            this.lines.shift();
        }
        for (const onLine of [...this.lineListeners]) {
            onLine(line);
        }
    }
}

/** Starts processes and ends all of them, whatever happens to the test. */
export class ProcessGroup {
    private readonly processes: ManagedProcess[] = [];
    private readonly onParentExit = (): void => this.closeAll();

    public constructor() {
        process.once("exit", this.onParentExit);
    }

    /** Starts Node.js on compiled code, or on a TypeScript file with tsx loaded. */
    public start(name: string, file: string, args: readonly string[], env: NodeJS.ProcessEnv = {}): ManagedProcess {
        const loader = file.endsWith(".ts") ? ["--import", "tsx"] : [];
        const child = spawn(process.execPath, [...loader, file, ...args], {
            cwd: rootFolder,
            env: { ...process.env, ...env },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const managed = new ManagedProcess(name, child);
        this.processes.push(managed);
        return managed;
    }

    /** Starts a stand-in on a free port and returns its address once it listens. */
    public async startStandIn(name: string, folder: string, args: readonly string[]): Promise<StandIn> {
        const managed = this.start(name, `test/fakes/${folder}/main.ts`, ["--port", "0", ...args]);
        const [, port] = await managed.waitForLine(/^ready (\d+)$/);
        return { process: managed, port: Number(port), url: `http://127.0.0.1:${port}` };
    }

    public list(): readonly ManagedProcess[] {
        return this.processes;
    }

    /** Ends all processes and waits until they are gone. */
    public async close(): Promise<void> {
        this.closeAll();
        await Promise.all(this.processes.map(managed => managed.exited));
        process.off("exit", this.onParentExit);
    }

    private closeAll(): void {
        this.processes.forEach(managed => managed.send("SIGKILL"));
    }
}

/** A running stand-in. */
export interface StandIn {
    readonly process: ManagedProcess;
    readonly port: number;
    readonly url: string;
}

const pollMs = 25;

/** Asks again and again until the answer is defined; the error says what was waited for. */
export async function waitUntil<T>(what: string, ask: () => Promise<T | undefined>, timeoutMs = 20_000): Promise<T> {
    const endMs = performance.now() + timeoutMs;
    let lastError: unknown;
    while (performance.now() < endMs) {
        try {
            const answer = await ask();
            if (answer !== undefined) {
                return answer;
            }
        } catch (error) {
            lastError = error;
        }
        await new Promise(resolve => setTimeout(resolve, pollMs));
    }
    throw new Error(`waited ${timeoutMs} ms in vain: ${what}`, { cause: lastError });
}
