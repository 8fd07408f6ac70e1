import { spawnSync, type ChildProcess } from "node:child_process";
import { connect } from "node:net";
import { expect } from "vitest";
import { sendRequest, sleepFor, startRouter } from "../../scripts/routerProcess.js";
import { rootFolder } from "../fakes/processes.js";
import { StoreServer } from "../fakes/usersPlatform/storeServer.js";
import { TargetServer } from "../fakes/usersPlatform/targetServer.js";
import { createConfiguration, findFreePort, host, waitUntil } from "../gateway/gatewayFixture.js";
import { countDescriptors, readPeakMemoryMb } from "./processFigures.js";

/** Limits of the router: those of a small VM. */
export const limits = { memoryMb: 200, maxDescriptors: 400 };
const heapMb = 64;
const maxRequestMs = 60_000;
/** Tries of an ordinary request; callers repeat refused requests too. */
const maxTries = 20;
const retryMs = 500;

/** Largest body that the configuration allows; bytes. */
export const maxBodyBytes = 4_194_304;

/** Builds the router's program. */
export function buildRouter(): void {
    const { status } = spawnSync(process.execPath, ["--import", "tsx", "scripts/bundleRouter.ts"], { cwd: rootFolder });
    expect(status).toBe(0);
}

/** The usual configuration, with time for requests that take long to arrive. */
function createRouterConfiguration(): object {
    const { routes, limits: callerLimits, ...others } = createConfiguration(1);
    return {
        ...others,
        routes: (routes as object[]).map(route => ({ ...route, timeout_ms: maxRequestMs })),
        limits: { ...(callerLimits as object), max_body_bytes: maxBodyBytes },
    };
}

/** Ports of a router that a client can reach. */
export type RouterPort = "callers" | "readiness" | "control" | "metrics";

/** What must hold of a router while clients misbehave, and afterwards. */
export interface RouterCondition {
    readonly isAlive: boolean;
    readonly isWithinMemory: boolean;
    readonly isWithinDescriptors: boolean;
    readonly answersOrdinaryRequest: boolean;
}

/** The condition that all tests expect. */
export const soundCondition: RouterCondition = {
    isAlive: true,
    isWithinMemory: true,
    isWithinDescriptors: true,
    answersOrdinaryRequest: true,
};

/** The router of the users' platform as a process of its own, with a store and a target. */
export class RouterFixture {
    public readonly ports: Readonly<Record<RouterPort, number>>;
    public readonly target = new TargetServer("app-1", false);
    private readonly store = new StoreServer();
    private process: ChildProcess | undefined;
    private ordinaryCount = 0;
    private hasExited = false;

    private constructor(ports: Readonly<Record<RouterPort, number>>) {
        this.ports = ports;
    }

    public static async start(): Promise<RouterFixture> {
        const fixture = new RouterFixture({
            callers: await findFreePort(),
            readiness: await findFreePort(),
            control: await findFreePort(),
            metrics: await findFreePort(),
        });
        await fixture.run();
        return fixture;
    }

    /** Sends a request as ordinary callers do, with repeats after refusals; whether one was served. */
    public async sendOrdinary(): Promise<boolean> {
        for (let number = 0; number < maxTries && this.isAlive; number++) {
            this.ordinaryCount += 1;
            const headers = { host, "x-lynxarch-attempt-id": `ordinary-${this.ordinaryCount}` };
            if (await sendRequest(this.ports.callers, "/book/1", headers)) {
                return true;
            }
            await sleepFor(retryMs);
        }
        return false;
    }

    /** Sends bytes on a connection of its own, and returns what comes back until the router closes it. */
    public sendRaw(bytes: Buffer): Promise<string> {
        return new Promise(resolve => {
            const socket = connect(this.ports.callers, "127.0.0.1", () => socket.write(bytes));
            const received: Buffer[] = [];
            socket.on("data", (data: Buffer) => received.push(data));
            socket.on("error", () => undefined);
            socket.once("close", () => resolve(Buffer.concat(received).toString()));
        });
    }

    /** Checks the process, and sends an ordinary request. */
    public async checkCondition(): Promise<RouterCondition> {
        const answersOrdinaryRequest = await this.sendOrdinary();
        const { pid = 0 } = this.process ?? {};
        return {
            isAlive: this.isAlive,
            isWithinMemory: this.isAlive && readPeakMemoryMb(pid) <= limits.memoryMb,
            isWithinDescriptors: this.isAlive && countDescriptors(pid) <= limits.maxDescriptors,
            answersOrdinaryRequest,
        };
    }

    public dispose(): void {
        this.process?.kill("SIGKILL");
        this.target.dispose();
        this.store.dispose();
    }

    private get isAlive(): boolean {
        return this.process !== undefined && !this.hasExited;
    }

    private async run(): Promise<void> {
        const { store, target, ports } = this;
        await store.start();
        store.write("keyed.op", "config", createRouterConfiguration());
        await target.start();
        const { address } = target;
        const entry = { service: "app", address, zone: "dc-a", slots: 64, state: "ready", seqno: 1 };
        store.write("keyed.servers", target.instanceId, entry);
        this.process = await startRouter({
            storeAddress: store.address,
            callers: ports.callers,
            readiness: ports.readiness,
            control: ports.control,
            metricsPort: ports.metrics,
            limits,
            heapMb,
        });
        this.process.once("exit", () => (this.hasExited = true));
        await waitUntil(() => this.sendOrdinary());
    }
}
