import { okAsync } from "neverthrow";
import { describe, expect, it } from "vitest";
import { OrderService, type OrderView } from "../../src/agent/orderService.js";
import { ManualClock } from "../../src/base/clock.js";
import { SeededRandom } from "../../src/base/random.js";
import type { FleetEventInput } from "../../src/events/fleetEvent.js";
import type { Scheduler } from "../../src/fleet/coreRunner.js";

const heartbeatMs = 250;

/** An agent's order service on a clock that the test moves. */
class OrderWorld {
    public readonly clock = new ManualClock();
    public readonly events: string[] = [];
    public readonly received: string[] = [];
    public view: OrderView;
    public confirmable = true;
    public engineFencing = 0;
    private due: (() => void)[] = [];
    private readonly service: OrderService;

    public constructor(checksFencing: boolean) {
        this.view = {
            orders: [
                { kind: "set-role", name: "decode" },
                { kind: "load-model", name: "planner" },
            ],
            checksFencing,
            loadsPerMinute: 60,
            sharers: 1,
            place: 0,
            ownOffset: 7,
            newestOffset: 7,
        };
        const scheduler: Scheduler = {
            run: callback => {
                this.due.push(callback);
                return { dispose: () => undefined };
            },
        };
        this.service = new OrderService({
            target: {
                sendOrder: order => {
                    if (checksFencing && order.fencing < this.engineFencing) {
                        return okAsync("stale" as const);
                    }
                    this.received.push(`${order.kind} ${order.name} #${order.fencing}`);
                    return okAsync("done" as const);
                },
            },
            recorder: { record: (event: FleetEventInput) => this.events.push(`${event.kind} ${event.reason}`) },
            clock: this.clock,
            scheduler,
            random: new SeededRandom(1),
            getView: () => this.view,
            confirmRoster: async () => (this.confirmable ? this.clock.nowMs() : undefined),
        });
        this.service.update();
    }

    /** Lets heartbeats pass as on a process that runs all the time. */
    public async advance(beats: number): Promise<void> {
        for (let beat = 0; beat < beats; beat++) {
            this.clock.advance(heartbeatMs);
            for (const callback of this.due.splice(0)) {
                callback();
            }
            await new Promise<void>(resolve => setImmediate(resolve));
        }
    }

    public clear(): void {
        this.service.clear();
    }
}

describe("orders to an engine", () => {
    it("go once each, in their order, and anew after the engine was gone", async () => {
        const world = new OrderWorld(true);
        await world.advance(20);
        const first = [...world.received];
        world.clear();
        await world.advance(20);
        expect([first, world.received.slice(first.length)]).toMatchInlineSnapshot(`
          [
            [
              "set-role decode #7",
              "load-model planner #7",
            ],
            [
              "set-role decode #7",
              "load-model planner #7",
            ],
          ]
        `);
    });

    // The agent was paused and a newer one has registered and ordered. This one wakes with its old number; an engine that
    // checks refuses it. Were the refusal taken for a failure, the agent would send it again and again.
    it("with an old fencing number are refused by an engine that checks, and not repeated", async () => {
        const world = new OrderWorld(true);
        world.engineFencing = 9;
        await world.advance(20);
        expect([world.received, world.events]).toMatchInlineSnapshot(`
          [
            [],
            [
              "order-sent set-role decode",
              "order-refused set-role decode",
              "order-sent load-model planner",
              "order-refused load-model planner",
            ],
          ]
        `);
    });

    // The same with an engine that ignores the number: it would take the late order and serve the old version. So the
    // agent asks the log first, and sends nothing while it cannot be certain, as in an outage of the platform.
    it("are held back from an engine that ignores fencing until the log has shown that no newer agent stands", async () => {
        const world = new OrderWorld(false);
        world.confirmable = false;
        await world.advance(20);
        const whileUncertain = [...world.received];
        world.view = { ...world.view, newestOffset: 9 };
        world.confirmable = true;
        await world.advance(20);
        const whileReplaced = [...world.received];
        world.view = { ...world.view, newestOffset: 7 };
        await world.advance(20);
        expect([whileUncertain, whileReplaced, world.received]).toMatchInlineSnapshot(`
          [
            [],
            [],
            [
              "set-role decode #7",
              "load-model planner #7",
            ],
          ]
        `);
    });
});
