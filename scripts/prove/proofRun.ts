import type { Random } from "../../src/base/random.js";
import { sendUntilRun } from "../../test/fakes/callers.js";
import type { Isolation } from "../../src/events/historyChecker.js";
import { Fleet, type FleetDaemon, type FleetOptions } from "../../test/fakes/fleet.js";
import { Observer } from "./observer.js";
import type { Breach, PointNumber } from "./point.js";
import { Workload } from "./workload.js";

/** Enough keys that each of a few homes has one with near certainty. */
const homeProbes = 12;

/** A document change that was appended as the only one of its basis, or that won a race. */
export interface AppliedChange {
    readonly offset: number;
    readonly atMs: number;
}

/** A time in which a data centre or target must start nothing new, once its bound has passed. */
export interface Closure {
    readonly point: 4 | 8;
    readonly targets: readonly string[];
    readonly fromMs: number;
    toMs: number;
}

/** One fleet under faults: what a scenario works with, and what the checks read. */
export class ProofRun {
    public readonly fleet: Fleet;
    public readonly workload: Workload;
    public readonly observer: Observer;
    public readonly faults: string[] = [];
    public readonly changes: AppliedChange[] = [];
    public readonly closures: Closure[] = [];
    public readonly breaches: Breach[] = [];
    /** Times in which a daemon could reach neither the log nor a peer. */
    public readonly isolations: Isolation[] = [];
    /** Requests that were open when a planned stop began, and no other fault was on, must all end whole. */
    public expectNoCuts = false;
    /** Time in which every account had more open than it could be given. */
    public backlogged: { readonly fromMs: number; readonly toMs: number } | undefined;
    /** Every account must get an answer after the last fault has been healed. */
    public healedAtMs: number | undefined;

    public constructor(
        options: FleetOptions,
        public readonly random: Random,
    ) {
        this.fleet = new Fleet(options);
        this.workload = new Workload(this.fleet, random);
        this.observer = new Observer(this.fleet);
    }

    /** Waits until the agents of the plain service take keys of the callers' own choice. */
    public async waitForHomes(): Promise<void> {
        const url = this.fleet.getRouter(0).callersUrl ?? "";
        const keys = [...Array(homeProbes).keys()].map(index => `probe-${index}-${this.random.next()}`);
        await Promise.all(keys.map(key => sendUntilRun(url, "middle", key)));
    }

    /** Notes a fault; the report counts them. */
    public recordFault(what: string): void {
        this.faults.push(what);
    }

    /** Notes a breach that the scenario itself has seen. */
    public recordBreach(point: PointNumber, evidence: string): void {
        this.breaches.push({ point, evidence });
    }

    /** Picks one of several by the run's seed. */
    public pick<T>(members: readonly T[]): T {
        return members[Math.floor(this.random.next() * members.length)];
    }

    /** Lets the fault last. The length is part of the scenario and decides no verdict. */
    public sleep(ms: number): Promise<void> {
        return new Promise(resolve => setTimeout(resolve, ms));
    }

    /** Kills a daemon without warning. */
    public async stopHard(daemon: FleetDaemon): Promise<void> {
        this.recordFault(`kill -9 ${daemon.name}`);
        daemon.process.send("SIGKILL");
        await daemon.process.exited;
    }

    /** Starts a daemon again and waits until it is ready. */
    public async startAgain(daemon: FleetDaemon): Promise<void> {
        this.fleet.startAgain(daemon);
        await this.fleet.waitReady(daemon);
    }

    /** Stops a daemon's process for a while, as a VM that is paused. */
    public async stopForWhile(daemon: FleetDaemon, ms: number): Promise<void> {
        this.recordFault(`SIGSTOP ${daemon.name} for ${ms} ms`);
        daemon.process.send("SIGSTOP");
        await this.runIsolated([daemon], () => this.sleep(ms));
        daemon.process.send("SIGCONT");
    }

    /** Notes that daemons can reach neither the log nor a peer while something runs. */
    public async runIsolated(daemons: readonly FleetDaemon[], run: () => Promise<void>): Promise<void> {
        const fromMs = Date.now();
        await run();
        const toMs = Date.now();
        this.isolations.push(...daemons.map(daemon => ({ daemon: daemon.name, fromMs, toMs })));
    }

    /** Cuts or freezes the ways whose names match for a while. */
    public async closeWays(pattern: string, ms: number, mode: "cut" | "frozen" = "cut"): Promise<void> {
        const count = await this.fleet.setRoutes(pattern, mode);
        if (count === 0) {
            throw new Error(`no way matches ${pattern}`);
        }
        this.recordFault(`${mode} ${pattern} for ${ms} ms`);
        await this.sleep(ms);
        await this.fleet.setRoutes(pattern, "open");
    }

    /** Appends a change by a JSON Patch on the newest accepted document, and notes it for the checks. */
    public async applyPatch(patch: readonly object[]): Promise<AppliedChange> {
        const basis = this.changes.at(-1)?.offset ?? 0;
        const atMs = Date.now();
        const id = `change-${this.changes.length}-${this.random.next()}`;
        const offset = await this.fleet.applyChange(id, basis, patch);
        const change = { offset, atMs };
        this.changes.push(change);
        return change;
    }

    /** Marks that no fault is on any more; every account must be served from here on. */
    public recordHealed(): void {
        this.healedAtMs = Date.now();
    }
}
