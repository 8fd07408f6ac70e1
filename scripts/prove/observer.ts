import type { FleetEvent } from "../../src/events/fleetEvent.js";
import type { Fleet, FleetDaemon } from "../../test/fakes/fleet.js";

/** The document offset that a daemon said it has in force. */
export interface SeenOffset {
    readonly daemon: string;
    readonly incarnation: number;
    readonly offset: number;
    readonly phase: string;
    readonly atMs: number;
}

const periodMs = 100;

/** Looks at all daemons again and again, so that what one knew is not lost when it is killed. */
export class Observer {
    public readonly offsets: SeenOffset[] = [];
    private readonly events = new Map<string, FleetEvent>();
    private readonly lastSequence = new Map<string, { readonly incarnation: number; readonly sequence: number }>();
    private stopping = false;
    private loop: Promise<unknown> = Promise.resolve();

    public constructor(private readonly fleet: Fleet) {}

    public start(): void {
        this.loop = Promise.all(this.fleet.daemons.map(daemon => this.watch(daemon)));
    }

    public async stop(): Promise<void> {
        this.stopping = true;
        await this.loop;
        await Promise.all(this.fleet.daemons.map(daemon => this.observe(daemon)));
    }

    /** All events seen of all daemons. */
    public listEvents(): readonly FleetEvent[] {
        return [...this.events.values()];
    }

    private async watch(daemon: FleetDaemon): Promise<void> {
        while (!this.stopping) {
            await this.observe(daemon);
            await new Promise(resolve => setTimeout(resolve, periodMs));
        }
    }

    private async observe(daemon: FleetDaemon): Promise<void> {
        const askedAtMs = Date.now();
        const status = await this.fleet.fetchStatus(daemon);
        if (status === undefined) {
            return;
        }
        const { incarnation, documentOffset, phase } = status;
        this.offsets.push({ daemon: daemon.name, incarnation, offset: documentOffset, phase, atMs: askedAtMs });
        const last = this.lastSequence.get(daemon.name);
        const since = last?.incarnation === incarnation ? last.sequence : -1;
        const events = await this.fleet.fetchEvents(daemon, since);
        for (const event of events ?? []) {
            this.events.set(`${event.daemon} ${event.incarnation} ${event.sequence}`, event);
        }
        const newest = events?.at(-1);
        if (newest !== undefined) {
            this.lastSequence.set(daemon.name, { incarnation: newest.incarnation, sequence: newest.sequence });
        }
    }
}
