import { spawn, type ChildProcess } from "node:child_process";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { request as sendHttp } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { findFreePort } from "../test/gateway/gatewayFixture.js";

const program = "target/router.mjs";
const ip = "127.0.0.1";
const tickMs = 10;
/** Heap size of deploy/system.toml; megabytes. */
const defaultHeapMb = 160;

/** Options of {@link startRouter}. */
export interface RouterProcessOptions {
    readonly storeAddress: string;
    /** Port for callers. */
    readonly callers: number;
    readonly limits: { readonly memoryMb: number; readonly maxDescriptors: number };
    readonly metricsPort?: number;
    /** Port for the balancer; a free one if it is absent. */
    readonly readiness?: number;
    /** Port for operators; not served if it is absent. */
    readonly control?: number;
    /** Maximum size of the heap; megabytes. */
    readonly heapMb?: number;
}

/** Starts the bundled router as a process of its own on a loopback address. */
export async function startRouter(options: RouterProcessOptions): Promise<ChildProcess> {
    const { storeAddress, callers, limits, metricsPort, readiness, control, heapMb = defaultHeapMb } = options;
    const file = join(mkdtempSync(join(tmpdir(), "lynxarch-")), "settings.json");
    const peers = await findFreePort();
    writeFileSync(
        file,
        JSON.stringify({
            daemonId: "router-1",
            ip,
            dataCentre: "dc-a",
            callers: `${ip}:${callers}`,
            readiness: `${ip}:${readiness ?? (await findFreePort())}`,
            control: control === undefined ? undefined : `${ip}:${control}`,
            peerPorts: [peers, peers],
            seeds: [],
            store: { address: storeAddress },
            limits,
            retryBudget: { slack: 50 },
            coldLimit: { slack: 5 },
            metricsPort,
        }),
    );
    const flags = [`--max-old-space-size=${heapMb}`, "--max-semi-space-size=8"];
    return spawn(process.execPath, [...flags, program, "--settings", file], { stdio: ["ignore", "ignore", "inherit"] });
}

/** Sends a request to the router on a connection of its own. Returns whether it got a whole success. */
export function sendRequest(port: number, path: string, headers: Readonly<Record<string, string>>): Promise<boolean> {
    return new Promise(resolve => {
        const request = sendHttp({ host: ip, port, path, method: "POST", headers, agent: false }, response => {
            response.resume();
            response.on("error", () => undefined);
            response.on("close", () => resolve(response.complete && response.statusCode === 200));
        });
        request.on("error", () => resolve(false));
        request.end("b");
    });
}

/** User and system time so far, in milliseconds; a tick is a hundredth of a second. */
export function readCpuMs({ pid }: ChildProcess): number {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1].split(" ");
    return (Number(fields[11]) + Number(fields[12])) * tickMs;
}

/** Resident memory of the process now, or at its peak; megabytes. */
export function readMemoryMb({ pid }: ChildProcess, field: "VmRSS" | "VmHWM"): number {
    const kilobytes = new RegExp(`${field}:\\s+(\\d+)`).exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1];
    return Math.round(Number(kilobytes ?? 0) / 1_024);
}

/** Waits for a time in milliseconds. */
export function sleepFor(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
