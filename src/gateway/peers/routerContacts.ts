/** Time for which the last message from an address is remembered; milliseconds. The longest for which streams are recorded. */
const retentionMs = 600_000;

/** What is known of routers besides their messages. */
export interface KnownAddresses {
    /** Addresses of routers with a recent message. */
    readonly recentIps: ReadonlySet<string>;
    /** Addresses that messages have named. */
    readonly namedIps: readonly string[];
    readonly seedIps: readonly string[];
}

/** Addresses from which messages of other routers were received, also after these routers were removed. */
export class RouterContacts {
    private readonly heardAt = new Map<string, number>();
    /** Incarnations of routers that have told that they stop, by address. */
    private readonly endedIncarnations = new Map<string, number>();

    /** `ownIp`: of this router. */
    public constructor(private readonly ownIp: string) {}

    public recordMessage(ip: string, incarnation: number, nowMs: number): void {
        this.heardAt.set(ip, nowMs);
        // Rounds may go on for a moment after a router has told that it stops.
        if (incarnation > (this.endedIncarnations.get(ip) ?? Number.POSITIVE_INFINITY)) {
            this.endedIncarnations.delete(ip);
        }
    }

    /** Records that a router has told that it stops. */
    public recordEnd(ip: string, incarnation: number): void {
        this.endedIncarnations.set(ip, incarnation);
    }

    /** Number of routers that sent a message since `fromMs`, or that are known otherwise, without a recent message. */
    public countMissing({ recentIps, namedIps, seedIps }: KnownAddresses, fromMs: number): number {
        const missing = new Set<string>();
        const addIfMissing = (ip: string): void => {
            if (!recentIps.has(ip) && !this.endedIncarnations.has(ip) && ip !== this.ownIp) {
                missing.add(ip);
            }
        };
        // Settings may name seeds that don't exist any more. They count only for a router that hears nobody.
        if (recentIps.size === 0) {
            seedIps.forEach(addIfMissing);
        }
        namedIps.forEach(addIfMissing);
        this.heardAt.forEach((atMs, ip) => (atMs >= fromMs ? addIfMissing(ip) : undefined));
        return missing.size;
    }

    public removeExpired(nowMs: number): void {
        for (const [ip, atMs] of this.heardAt) {
            if (nowMs - atMs > retentionMs) {
                this.heardAt.delete(ip);
                this.endedIncarnations.delete(ip);
            }
        }
    }
}
