import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { CancellationTokenSource } from "../../src/base/cancellation.js";
import { createControlClient, type ControlClient } from "../../src/control/client.js";
import type { DaemonStatus } from "../../src/control/schemas.js";
import type { AcceptedDocument, EnvironmentDocument } from "../../src/document/schema.js";
import type { FleetEvent } from "../../src/events/fleetEvent.js";
import { buildFleetDocument, listFleetTargets, type FleetDocumentOptions, type FleetTarget } from "./fleetDocument.js";
import { findFreePort, ProcessGroup, waitUntil, type ManagedProcess, type StandIn } from "./processes.js";
import type { RouteMode } from "./forwarder/route.js";

/** Size and kind of a test fleet. */
export interface FleetOptions {
    readonly dataCentres: number;
    readonly targetsPerDataCentre: number;
    readonly routers: number;
    /** Daemon's entry point: compiled, or TypeScript. */
    readonly daemonFile: string;
    /** Puts a forwarder on every way between two parties, so that each can be cut. */
    readonly cuttable?: boolean;
    readonly document?: FleetDocumentOptions;
    readonly engineArgs?: readonly string[];
    readonly serviceArgs?: readonly string[];
    readonly platformArgs?: readonly string[];
    readonly logLevel?: "debug" | "info";
    /** Settings of all daemons in addition to those that the fleet needs. */
    readonly daemonSettings?: object;
    /** Maximum heap of each daemon; megabytes. */
    readonly heapMb?: number;
}

/** A daemon of the fleet; its process changes with each restart. */
export interface FleetDaemon {
    readonly name: string;
    readonly role: "router" | "agent";
    readonly dataCentre: string;
    readonly vmId: string;
    readonly settingsFile: string;
    /** Where the control API listens. */
    readonly address: string;
    /** Where a router takes callers. */
    readonly callersUrl: string | undefined;
    readonly target: FleetTarget | undefined;
    process: ManagedProcess;
}

/** Environment that the fleet's document is for. */
export const fleetEnvironment = "production";

const secret = "test-secret-of-the-fleet";
const eventPageTimeoutMs = 5_000;

/** A whole fleet of separate processes on loopback. */
export class Fleet {
    public readonly group = new ProcessGroup();
    public readonly folder = mkdtempSync(join(tmpdir(), "lynxarch-fleet-"));
    public readonly targets: readonly FleetTarget[];
    public readonly document: EnvironmentDocument;
    public readonly routers: FleetDaemon[] = [];
    public readonly agents: FleetDaemon[] = [];
    public readonly standIns = new Map<string, StandIn>();
    private readonly addresses = new Map<string, string>();
    private readonly clients = new Map<string, ControlClient>();
    private readonly source = new CancellationTokenSource();
    private platformStandIn: StandIn | undefined;
    private forwarder: StandIn | undefined;

    public constructor(private readonly options: FleetOptions) {
        this.targets = listFleetTargets(options.dataCentres, options.targetsPerDataCentre);
        this.document = buildFleetDocument(this.targets, options.document);
        writeFileSync(join(this.folder, "secret"), secret, { mode: 0o600 });
    }

    public get platform(): StandIn {
        if (this.platformStandIn === undefined) {
            throw new Error("the fleet has not been started");
        }
        return this.platformStandIn;
    }

    public get secretFile(): string {
        return join(this.folder, "secret");
    }

    /** All daemons, routers first. */
    public get daemons(): readonly FleetDaemon[] {
        return [...this.routers, ...this.agents];
    }

    /** Starts the stand-ins, publishes the document, starts the daemons and waits until each is ready. */
    public async start(publish = (): Promise<unknown> => this.applyFirstDocument()): Promise<void> {
        await this.startStandIns();
        await this.setVms();
        await publish();
        await this.chooseAddresses();
        await this.addAgents();
        await this.addRouters();
        await Promise.all(this.daemons.map(daemon => this.waitReady(daemon)));
    }

    /** Ends all processes and removes the fleet's files. */
    public async close(): Promise<void> {
        this.source.cancel();
        this.clients.forEach(client => client.dispose());
        await this.group.close();
        rmSync(this.folder, { recursive: true, force: true });
    }

    public getRouter(index: number): FleetDaemon {
        return this.getDaemon(`router-${index + 1}`);
    }

    public getDaemon(name: string): FleetDaemon {
        const daemon = this.daemons.find(candidate => candidate.name === name);
        if (daemon === undefined) {
            throw new Error(`no daemon ${name}`);
        }
        return daemon;
    }

    public getStandIn(target: string): StandIn {
        const standIn = this.standIns.get(target);
        if (standIn === undefined) {
            throw new Error(`no target ${target}`);
        }
        return standIn;
    }

    /** Starts a daemon again whose process has ended. */
    public startAgain(daemon: FleetDaemon): void {
        daemon.process = this.startDaemon(daemon.name, daemon.settingsFile);
    }

    /** Starts a second process for the same target at another address, as a VM's replacement. */
    public async addReplacement(daemon: FleetDaemon): Promise<FleetDaemon> {
        const address = `127.0.0.1:${await findFreePort()}`;
        const settings = JSON.parse(readFileSync(daemon.settingsFile, "utf8")) as object;
        const settingsFile = join(this.folder, `${daemon.name}-replacement.json`);
        const listen = { host: "127.0.0.1", port: Number(address.split(":")[1]) };
        writeFileSync(settingsFile, JSON.stringify({ ...settings, listen }));
        const name = `${daemon.name}-replacement`;
        const replacement = { ...daemon, name, address, settingsFile, process: this.startDaemon(name, settingsFile) };
        this.agents.push(replacement);
        return replacement;
    }

    /** Waits until the daemon tells the balancer that it takes callers, or routers that it takes work. */
    public async waitReady(daemon: FleetDaemon): Promise<void> {
        const ready = async (): Promise<true | undefined> => {
            if (!daemon.process.isRunning) {
                throw new Error(`${daemon.name} ended`);
            }
            return (await fetch(`http://${daemon.address}/readyz`)).ok ? true : undefined;
        };
        await waitUntil(`${daemon.name} ready`, ready).catch((error: unknown) => {
            const lines = daemon.process.listLines().slice(-15).join("\n");
            throw new Error(`${String(error)}\n${lines}`, { cause: error });
        });
    }

    /** Appends a record to a stream of the platform's log; returns its offset. */
    public async append(stream: string, value: unknown): Promise<number> {
        const answer = await sendJson(`${this.platform.url}/streams/${stream}/records`, value);
        return (answer as { offset: number }).offset;
    }

    /** Appends a change of the document that is based on an offset; returns the change's own offset. */
    public applyChange(id: string, basis: number, patch: readonly object[]): Promise<number> {
        return this.append(`document-${fleetEnvironment}`, { type: "change", id, basis, patch, author: "test" });
    }

    public async fetchStatus(daemon: FleetDaemon): Promise<DaemonStatus | undefined> {
        return (await this.getClient(daemon).fetchStatus(this.source.token)).unwrapOr(undefined);
    }

    /** The document that the daemon has in force. */
    public async fetchDocument(daemon: FleetDaemon): Promise<AcceptedDocument | undefined> {
        return (await this.getClient(daemon).fetchDocument(this.source.token)).unwrapOr(undefined);
    }

    /** Events of the daemon's present process after a sequence number; undefined when it does not answer. */
    public async fetchEvents(daemon: FleetDaemon, after = -1): Promise<readonly FleetEvent[] | undefined> {
        const events: FleetEvent[] = [];
        for (let since = after; ;) {
            const page = await this.getClient(daemon).fetchEvents(since, this.source.token);
            if (page.isErr()) {
                return undefined;
            }
            const fresh = page.value.events.filter(event => event.sequence > since);
            const last = fresh.at(-1);
            if (last === undefined) {
                return events;
            }
            events.push(...fresh);
            since = last.sequence;
        }
    }

    /** Waits until every running daemon has the document of this offset, or a newer one, in force. */
    public async waitForOffset(offset: number, timeoutMs = 20_000): Promise<void> {
        for (const daemon of this.daemons.filter(candidate => candidate.process.isRunning)) {
            await waitUntil(
                `${daemon.name} at offset ${offset}`,
                async () => {
                    const status = await this.fetchStatus(daemon);
                    return status !== undefined && status.documentOffset >= offset ? true : undefined;
                },
                timeoutMs,
            );
        }
    }

    /** Switches a fault of the platform on; `ok` ends it. */
    public async setPlatformFault(mode: string, fault: object = {}): Promise<void> {
        await sendJson(`${this.platform.url}/faults`, { mode, ...fault });
    }

    /** Cuts, freezes or heals the ways whose names match; ways are named `FROM>TO`. */
    public async setRoutes(pattern: string, mode: RouteMode): Promise<number> {
        const answer = await sendJson(`${this.forwarder?.url}/modes`, { pattern, mode });
        return (answer as { names: string[] }).names.length;
    }

    private getClient(daemon: FleetDaemon): ControlClient {
        const client =
            this.clients.get(daemon.name) ??
            createControlClient({ address: daemon.address, secret, timeoutMs: eventPageTimeoutMs });
        this.clients.set(daemon.name, client);
        return client;
    }

    private async startStandIns(): Promise<void> {
        const platform = this.group.startStandIn("platform", "platform", this.options.platformArgs ?? []);
        const forwarder = this.options.cuttable
            ? this.group.startStandIn("forwarder", "forwarder", [])
            : Promise.resolve(undefined);
        await Promise.all(this.targets.map(target => this.startTarget(target)));
        this.platformStandIn = await platform;
        this.forwarder = await forwarder;
    }

    private async startTarget(target: FleetTarget): Promise<void> {
        const isModel = target.kind === "model";
        const fencing = this.document.targets[target.name]?.checksFencing ? ["--checks-fencing"] : [];
        const figures = this.document.targets[target.name];
        const args = isModel
            ? [
                  ...["--models", this.document.targets[target.name]?.services.join(",") ?? ""],
                  ...["--max-concurrent", String(figures?.maxConcurrent), "--cold-limit", String(figures?.coldLimit)],
                  ...fencing,
                  ...(this.options.engineArgs ?? []),
              ]
            : (this.options.serviceArgs ?? []);
        const folder = isModel ? "engine" : "plainService";
        const standIn = await this.group.startStandIn(target.name, folder, ["--target", target.name, ...args]);
        this.standIns.set(target.name, standIn);
    }

    /** Writes a settings file for `lynxarch` and returns its name. */
    public writeCliSettings(): string {
        const file = join(this.folder, "lynxarch.json");
        const daemons = this.daemons.map(daemon => daemon.address);
        const environments = { [fleetEnvironment]: { platformUrl: this.platform.url, daemons } };
        writeFileSync(file, JSON.stringify({ environments, secretFile: this.secretFile }, undefined, 4));
        return file;
    }

    private applyFirstDocument(): Promise<number> {
        return this.applyChange("first", -1, [{ op: "replace", path: "", value: this.document }]);
    }

    /** Sets the platform's list of VMs; those named are leaving, all others live. */
    public async setVms(leaving: readonly string[] = []): Promise<void> {
        const places = [
            ...this.targets.map(target => ({ id: `vm-${target.name}`, dataCentre: target.dataCentre })),
            ...this.listRouterNames().map((name, index) => ({
                id: `vm-${name}`,
                dataCentre: this.getRouterDataCentre(index),
            })),
        ];
        const vms = places.map(vm => ({ ...vm, state: leaving.includes(vm.id) ? "leaving" : "live" }));
        await fetch(`${this.platform.url}/vms`, { method: "PUT", body: JSON.stringify({ vms }) });
    }

    private getRouterDataCentre(index: number): string {
        return `dc-${(index % this.options.dataCentres) + 1}`;
    }

    private async addAgents(): Promise<void> {
        for (const target of this.targets) {
            const name = `agent-${target.name}`;
            const settings = {
                role: "agent",
                target: {
                    name: target.name,
                    url: await this.connectWay(name, target.name, this.getStandIn(target.name).port),
                },
                platform: { url: await this.connectWay(name, "platform", this.platform.port) },
                peers: await this.connectPeers(name),
            };
            const address = this.getAddress(name);
            this.addDaemon({ name, role: "agent", dataCentre: target.dataCentre, address, target }, settings);
        }
    }

    private async addRouters(): Promise<void> {
        for (const [index, name] of this.listRouterNames().entries()) {
            const callersPort = await findFreePort();
            const settings = {
                role: "router",
                callers: { host: "127.0.0.1", port: callersPort },
                platform: { url: await this.connectRouterToPlatform(name) },
                peers: await this.connectPeers(name),
            };
            const dataCentre = this.getRouterDataCentre(index);
            const callersUrl = `http://127.0.0.1:${callersPort}`;
            this.addDaemon({ name, role: "router", dataCentre, address: this.getAddress(name), callersUrl }, settings);
        }
    }

    private listRouterNames(): readonly string[] {
        return [...Array(this.options.routers).keys()].map(index => `router-${index + 1}`);
    }

    /** Gives each daemon its control address before any is started, as they name one another in their settings. */
    private async chooseAddresses(): Promise<void> {
        for (const name of [...this.targets.map(target => `agent-${target.name}`), ...this.listRouterNames()]) {
            this.addresses.set(name, `127.0.0.1:${await findFreePort()}`);
        }
    }

    private getAddress(name: string): string {
        return this.addresses.get(name) ?? "";
    }

    /** The routers, as peers that a daemon asks for the document when the platform is down at its start. */
    private async connectPeers(name: string): Promise<readonly string[]> {
        const peers: string[] = [];
        for (const router of this.listRouterNames().filter(candidate => candidate !== name)) {
            const port = Number(this.getAddress(router).split(":")[1]);
            peers.push((await this.connectWay(name, router, port)).replace("http://", ""));
        }
        return peers;
    }

    private addDaemon(
        daemon: Pick<FleetDaemon, "name" | "role" | "dataCentre" | "address"> & Partial<FleetDaemon>,
        settings: object,
    ): void {
        const vmId = daemon.role === "agent" ? `vm-${daemon.target?.name}` : `vm-${daemon.name}`;
        const [host, port] = daemon.address.split(":");
        const settingsFile = join(this.folder, `${daemon.name}.json`);
        const common = {
            daemonId: daemon.name,
            vmId,
            environment: fleetEnvironment,
            dataCentre: daemon.dataCentre,
            listen: { host, port: Number(port) },
            secretFile: this.secretFile,
            logLevel: this.options.logLevel ?? "info",
        };
        writeFileSync(
            settingsFile,
            JSON.stringify({ ...common, ...this.options.daemonSettings, ...settings }, undefined, 4),
        );
        const process = this.startDaemon(daemon.name, settingsFile);
        const list = daemon.role === "agent" ? this.agents : this.routers;
        list.push({ callersUrl: undefined, target: undefined, ...daemon, vmId, settingsFile, process });
    }

    private startDaemon(name: string, settingsFile: string): ManagedProcess {
        const { daemonFile, heapMb } = this.options;
        const env = heapMb === undefined ? {} : { NODE_OPTIONS: `--max-old-space-size=${heapMb}` };
        return this.group.start(name, daemonFile, ["--settings", settingsFile], env);
    }

    /** The address one party reaches another at: through the forwarder when ways can be cut. */
    private async connectWay(from: string, to: string, port: number, replacements: object = []): Promise<string> {
        if (this.forwarder === undefined) {
            return `http://127.0.0.1:${port}`;
        }
        const route = { name: `${from}>${to}`, to: `127.0.0.1:${port}`, port: await findFreePort(), replacements };
        await sendJson(`${this.forwarder.url}/routes`, route);
        return `http://127.0.0.1:${route.port}`;
    }

    /**
     * A router learns the agents' addresses from the log. For ways between one router and one agent that can be cut,
     * the router's own way to the log replaces each agent's address by that of a forwarder route.
     */
    private async connectRouterToPlatform(router: string): Promise<string> {
        const replacements: [string, string][] = [];
        for (const agent of this.forwarder === undefined ? [] : this.agents) {
            const url = await this.connectWay(router, agent.name, Number(agent.address.split(":")[1]));
            replacements.push([agent.address, url.replace("http://", "")]);
        }
        return this.connectWay(router, "platform", this.platform.port, replacements);
    }
}

async function sendJson(url: string, value: unknown): Promise<unknown> {
    const response = await fetch(url, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(value),
    });
    if (!response.ok) {
        throw new Error(`${url} answered ${response.status}: ${await response.text()}`);
    }
    return response.json();
}
