import { appendFileSync } from "node:fs";
import type { AddressInfo } from "node:net";
import { serve, type ServerType } from "@hono/node-server";
import type { Hono } from "hono";
import type { HttpBindings } from "@hono/node-server";
import type { Clock } from "../../src/base/clock.js";
import type { EventRecorder, FleetEvent, FleetEventInput } from "../../src/events/fleetEvent.js";

/** Node's request and response, for handlers that must break a connection. */
export interface StandInBindings {
    Bindings: HttpBindings;
}

/** Records a stand-in's events in memory and, if asked, as JSON lines in a file. */
export class StandInRecorder implements EventRecorder {
    private readonly events: FleetEvent[] = [];
    private readonly incarnation: number;
    private lastWallMs = 0;
    private counter = 0;

    public constructor(
        private readonly name: string,
        private readonly clock: Clock,
        private readonly eventsFile?: string,
    ) {
        this.incarnation = clock.nowDate().getTime();
    }

    public record(input: FleetEventInput): void {
        const wallMs = Math.max(this.clock.nowDate().getTime(), this.lastWallMs);
        this.counter = wallMs === this.lastWallMs ? this.counter + 1 : 0;
        this.lastWallMs = wallMs;
        const event: FleetEvent = {
            ...input,
            time: { wallMs, counter: this.counter },
            daemon: this.name,
            incarnation: this.incarnation,
            sequence: this.events.length,
        };
        this.events.push(event);
        if (this.eventsFile !== undefined) {
            appendFileSync(this.eventsFile, `${JSON.stringify(event)}\n`);
        }
    }

    /** All events since the start of the process. */
    public list(): readonly FleetEvent[] {
        return this.events;
    }
}

/** Serves the app on loopback, prints `ready PORT` and leaves on SIGTERM or SIGINT. */
export function listenAndReport(app: Hono<StandInBindings>, port: number): ServerType {
    const server = serve({ fetch: app.fetch, port, hostname: "127.0.0.1" }, (info: AddressInfo) => {
        console.log(`ready ${info.port}`);
    });
    const stop = (): void => process.exit(0);
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    return server;
}
