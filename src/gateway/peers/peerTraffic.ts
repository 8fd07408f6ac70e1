/** Where a datagram was sent: to the router's own data centre, to another one, or to an address from which no message was received. */
export type TrafficScope = "own" | "other" | "unknown";

/** Counts of what a router has sent to its peers since its start. */
export interface PeerTrafficCounts {
    readonly bytes: Readonly<Record<TrafficScope, number>>;
    /** Messages of this router that were sent to a relay. */
    readonly sentToRelays: number;
    /** Messages of other routers that this router forwarded within its data centre. */
    readonly forwarded: number;
}

/** Counts what a router sends to its peers. */
export class PeerTraffic {
    private readonly bytes = { own: 0, other: 0, unknown: 0 };
    private sentToRelays = 0;
    private forwarded = 0;

    /** `getScope`: where the router at an address is. */
    public constructor(private readonly getScope: (ip: string) => TrafficScope) {}

    public get counts(): PeerTrafficCounts {
        const { sentToRelays, forwarded } = this;
        return { bytes: { ...this.bytes }, sentToRelays, forwarded };
    }

    public recordSent(ip: string, bytes: number): void {
        this.bytes[this.getScope(ip)] += bytes;
    }

    public recordSentToRelays(messages: number): void {
        this.sentToRelays += messages;
    }

    public recordForwarded(): void {
        this.forwarded += 1;
    }
}
