import { vi } from "vitest";
import { SystemClock } from "../../../src/base/clock.js";
import { NoopLogger } from "../../../src/base/log.js";
import { SeededRandom } from "../../../src/base/random.js";
import { sleepOnTimer } from "../../../src/base/sleep.js";
import { BoundedExpiryGrace } from "../../../src/decisions/health/recordExpiryPolicy.js";
import { computeRemovalBounds } from "../../../src/gateway/drainBudget.js";
import { TargetDirectory } from "../../../src/gateway/targetDirectory.js";
import { StoreFeed } from "../../../platform/storeFeed.js";
import { SimulatedStore } from "../../fakes/usersPlatform/simulatedStore.js";

const topic = "keyed.servers";
const stepMs = 10;
/** Around the bound, time passes by single milliseconds. */
const fineSpanMs = 50;
const heartbeatMs = 70;

/** A router's view of the targets beside a simulated store, on fake timers. */
export class TargetRecordsFixture {
    public readonly store = new SimulatedStore();
    public readonly directory: TargetDirectory;
    private readonly feed: StoreFeed;
    private readonly clock = new SystemClock();
    private writes = 0;
    private heartbeat: NodeJS.Timeout | undefined;
    /** When an order of the operators was last in force. */
    public evacuatedAtMs: number | undefined;

    public constructor(
        public readonly drainMs = 2_000,
        public readonly contactMs = 3_000,
        seed = 1,
    ) {
        vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "setImmediate", "clearImmediate", "performance"] });
        const { clock } = this;
        const random = new SeededRandom(seed);
        const logger = new NoopLogger();
        this.feed = new StoreFeed({
            client: this.store,
            clock,
            random,
            sleep: sleepOnTimer,
            logger,
            drainMs,
            contactMs,
            applyMs: 2_000,
            heartbeatMs: 1_200,
        });
        this.directory = new TargetDirectory({
            clock,
            random,
            logger,
            connectionLimits: { connectTimeoutMs: 350, mostAnswerBytes: 1_000 },
            expiryPolicy: new BoundedExpiryGrace(
                () => this.feed.health.targets,
                computeRemovalBounds({ drainMs, contactMs }),
            ),
        });
        this.feed.onDidChange(change => {
            this.directory.applyChange(change);
            this.evacuatedAtMs = change.kind === "data-centre" ? this.nowMs : this.evacuatedAtMs;
        });
        this.store.write("keyed.op", "note", {});
    }

    /** Starts the router, and a target that goes on writing, as others do: a read that follows changes returns at once. */
    public start(): void {
        this.feed.start();
        const tick = (): void => {
            this.writeRecord("target-0");
            this.heartbeat = setTimeout(tick, heartbeatMs);
        };
        tick();
    }

    /** Nothing is written any more but by the test: reads wait for it. */
    public stopHeartbeats(): void {
        clearTimeout(this.heartbeat);
    }

    /** Milliseconds on the router's clock. */
    public get nowMs(): number {
        return this.clock.nowMs();
    }

    /** Writes a target's record as the target itself does; its number rises with each one. */
    public writeRecord(id: string, state: "ready" | "draining" = "ready"): void {
        this.writes += 1;
        this.store.write(topic, id, {
            service: "app",
            address: `127.0.0.1:${9_000 + Number(id.slice(id.lastIndexOf("-") + 1))}`,
            zone: "dc-a",
            slots: 8,
            state,
            seqno: this.writes,
            born: 1_700_000_000_000,
        });
    }

    /** The operators take a data centre out. */
    public writeOrder(): void {
        this.store.write("keyed.op", "evacuate/dc-b", {});
    }

    /** The store takes a target's record away. */
    public removeRecord(id: string): void {
        this.store.write(topic, id, undefined);
    }

    public removeHistory(): void {
        this.store.removeHistory(topic);
    }

    public takeCopy(): ReadonlyMap<string, Buffer> {
        return this.store.takeCopy(topic);
    }

    public resumeFromCopy(copy: ReadonlyMap<string, Buffer>): void {
        this.store.resumeFromCopy(topic, copy);
    }

    /** Whether a request may be sent to the target now. */
    public isOpen(id: string): boolean {
        const target = this.directory.find(id);
        return target !== undefined && this.directory.isOpen(target) && !this.directory.isClosed(target);
    }

    /** Lets time pass until `offsetMs` after the store has answered a read of the targets. */
    public async advanceToRead(offsetMs: number): Promise<void> {
        const { answers } = this.store;
        while (this.store.answers === answers) {
            await this.advance(1);
        }
        await this.advance(offsetMs);
    }

    public async advance(ms: number): Promise<void> {
        await vi.advanceTimersByTimeAsync(ms);
    }

    /** Lets time pass; for how long from now on the target could still get requests, in milliseconds. */
    public async measureOpenMs(id: string, spanMs = 8_000): Promise<number> {
        let lastMs = 0;
        for (let passedMs = 0; passedMs < spanMs;) {
            lastMs = this.isOpen(id) ? passedMs : lastMs;
            const isNearBound = Math.abs(passedMs - this.drainMs) <= fineSpanMs;
            const ms = isNearBound ? 1 : stepMs;
            await this.advance(ms);
            passedMs += ms;
        }
        return lastMs;
    }

    public dispose(): void {
        this.feed.dispose();
        this.directory.dispose();
        vi.useRealTimers();
    }
}
