import type { StoreServer } from "../fakes/usersPlatform/storeServer.js";
import type { SoakRollout } from "./records.js";
import { coldStartMs } from "./soakOperator.js";
import type { SoakTargets } from "./soakTargets.js";

const durationMs = 6_000;
/** After the duration a roll-out is waited for so long, and then taken back. */
const graceMs = 2_000;
const badShare = 0.5;
const drainAfterMs = 800;
const pollMs = 20;
const dataCentres = ["dc-a", "dc-b", "dc-c"] as const;

interface WrittenStatus {
    readonly state: string;
    readonly target: string;
}

/** Rolls versions out as the operators do: starts targets, orders, and stops one version's targets at the end. */
export class SoakRollouts {
    private readonly orders: Omit<SoakRollout, "states">[] = [];
    private readonly busy = new Set<string>();

    public constructor(
        private readonly store: StoreServer,
        private readonly targets: SoakTargets,
    ) {}

    /**
     * Runs a change of a service's versions unless another one runs: a roll-out that completes stops all other versions, which could be
     * those that replace its own.
     */
    public async runAlone(service: "engines" | "app", change: () => Promise<void>): Promise<void> {
        if (this.busy.has(service)) {
            return;
        }
        this.busy.add(service);
        await change();
        this.busy.delete(service);
    }

    /** Orders a version of a service and waits for the end. */
    public run(service: "engines" | "app", isBad: boolean): Promise<void> {
        return this.runAlone(service, () => this.runOrder(service, isBad));
    }

    private async runOrder(service: "engines" | "app", isBad: boolean): Promise<void> {
        const version = `v${this.orders.length + 2}`;
        const orderedAtMs = performance.now();
        const key = `rollout/${service}`;
        this.store.write("keyed.op", key, { service, target: version, duration_s: durationMs / 1_000 });
        for (const dataCentre of dataCentres) {
            const target = await this.targets.start(service, dataCentre, coldStartMs, 0, version);
            if (isBad) {
                this.targets.setScript(target, "error", badShare);
            }
        }
        let state = await this.waitForEnd(key, version, orderedAtMs + durationMs + graceMs);
        const endedAtMs = state === undefined ? undefined : performance.now();
        this.orders.push({ service, version, isBad, orderedAtMs, durationMs, endedAtMs });
        if (state === undefined) {
            this.store.write("keyed.op", key, undefined);
            state = "rolled_back";
        }
        if (state === "complete") {
            this.targets.setVersion(service, version);
        } else {
            await sleepFor(drainAfterMs);
            const left = this.targets.listVersion(service, version).filter(target => target.state === "ready");
            await Promise.all(left.map(target => this.targets.drain(target)));
        }
    }

    public listAll(): readonly SoakRollout[] {
        return this.orders.map(order => ({ ...order, states: this.listStates(order.service, order.version) }));
    }

    private listStates(service: string, version: string): readonly string[] {
        const written = this.store.readHistory("keyed.status", `rollout/${service}`) as readonly WrittenStatus[];
        return written.filter(({ target }) => target === version).map(({ state }) => state);
    }

    private async waitForEnd(key: string, version: string, untilMs: number): Promise<string | undefined> {
        while (performance.now() < untilMs) {
            const status = this.store.read("keyed.status", key) as WrittenStatus | undefined;
            if (status?.target === version && status.state !== "running") {
                return status.state;
            }
            await sleepFor(pollMs);
        }
        return undefined;
    }
}

function sleepFor(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
