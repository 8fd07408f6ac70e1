import { isDeepStrictEqual } from "node:util";
import { z } from "zod";
import { rosterEntrySchema, type RosterEntry } from "./rosterEntry.js";

/** A daemon says that it runs; repeated before the log's retention passes. */
export const registerRecordSchema = z.object({
    type: z.literal("register"),
    id: z.string(),
    entry: rosterEntrySchema,
    /** Last offset that the writer had read; -1 for none. */
    knownUpTo: z.number().int().min(-1),
    /** Set on repeats: offset of the registration that is renewed. */
    registration: z.number().int().nonnegative().optional(),
});

/** A daemon stops, or another says that it is gone. */
export const leaveRecordSchema = z.object({
    type: z.literal("leave"),
    id: z.string(),
    daemonId: z.string(),
    incarnation: z.number().int(),
    reason: z.enum(["stopped", "evicted"]),
    /** Daemon that wrote the record. */
    by: z.string(),
    /** Registration that an eviction is about; one that came later stands. */
    registration: z.number().int().nonnegative().optional(),
});

/** Any record of an environment's roster stream. */
export const rosterRecordSchema = z.discriminatedUnion("type", [registerRecordSchema, leaveRecordSchema]);

/** See {@link registerRecordSchema}. */
export type RegisterRecord = Readonly<z.infer<typeof registerRecordSchema>>;
/** See {@link leaveRecordSchema}. */
export type LeaveRecord = Readonly<z.infer<typeof leaveRecordSchema>>;

/** A registered daemon. */
export interface RosterMember {
    readonly entry: RosterEntry;
    /** Offset of the registration that began this membership; the fencing number of its orders and leases. */
    readonly registration: number;
    /** Last registration or renewal; platform's clock. */
    readonly renewedAtMs: number;
    /** The same on the scale that leaves out the log's outages; see {@link RosterState}. */
    readonly renewedAtActiveMs: number;
    /** What the writer of the newest registration had read. */
    readonly knownUpTo: number;
}

/** A membership in time: from its registration to its end. Offsets and times are the log's. */
export interface RosterMembership {
    readonly entry: RosterEntry;
    readonly registration: number;
    /** Offset from which the daemon is a member. */
    readonly fromOffset: number;
    readonly fromMs: number;
    /** Offset from which the daemon is no longer a member; undefined while it is one. */
    readonly untilOffset: number | undefined;
    readonly untilMs: number | undefined;
}

/** Times of the roster, all shares of the log's retention. */
export interface RosterTimes {
    /** A member that did not renew for this long is dropped; at most a quarter of the log's retention. */
    readonly memberLifetimeMs: number;
    /** How long ended memberships are remembered. */
    readonly historyMs: number;
}

/** Part of the roster stream. */
interface RosterPage {
    readonly records: readonly { readonly offset: number; readonly appendedAtMs: number; readonly value: unknown }[];
    readonly firstOffset: number;
}

interface Departure {
    readonly incarnation: number;
    readonly offset: number;
    readonly atActiveMs: number;
}

/** A silence longer than this share of a member's lifetime is an outage: a live fleet renews more often. */
const outageShare = 1 / 2;

/** Name of an environment's roster stream on the platform's log. */
export function formatRosterStream(environment: string): string {
    return `roster-${environment}`;
}

/** Times that suit a log which keeps records for `retentionMs`. */
export function computeRosterTimes(retentionMs: number): RosterTimes {
    return { memberLifetimeMs: retentionMs / 4, historyMs: retentionMs / 2 };
}

/**
 * The roster as a deterministic fold over its stream. Members renew their registration several times in a lifetime, and
 * a lifetime is far shorter than the log's retention, so the retained records alone give a reader without state the
 * same members; renewals do the work of snapshots. Time is the log's, so that all readers drop a member at one record.
 *
 * The log's outages do not count: after one that outlasts a lifetime, the first renewal would otherwise drop all other
 * members at once, and every key would change its home while the rest of the fleet comes back.
 */
export class RosterState {
    private readonly memberTable = new Map<string, RosterMember>();
    private readonly departures = new Map<string, Departure>();
    private readonly firstServed = new Map<string, number>();
    private spanTable: RosterMembership[] = [];
    private next = 0;
    private knownSinceMs = -Infinity;
    private isFromStart = true;
    private isGapOpen = false;
    private lastRecordAtMs: number | undefined;
    private activeMs = 0;

    public constructor(private readonly times: RosterTimes) {}

    public get nextOffset(): number {
        return this.next;
    }

    /** Registered daemons by id. */
    public get members(): ReadonlyMap<string, RosterMember> {
        return this.memberTable;
    }

    /** Memberships, ended ones of the last `historyMs` included, in order of registration. */
    public get memberships(): readonly RosterMembership[] {
        return this.spanTable;
    }

    /** Log time since which the spans are complete; -Infinity when the stream was read from its start. */
    public get historyCompleteSinceMs(): number {
        return this.knownSinceMs;
    }

    /** The memberships that held right after the record at `offset`. */
    public listMembersAt(offset: number): readonly RosterMembership[] {
        return this.spanTable.filter(
            span => span.fromOffset <= offset && (span.untilOffset === undefined || span.untilOffset > offset),
        );
    }

    /**
     * Whether some agent may have served the service before `offset`. True as well when the records that would tell are
     * gone: a home that took "never" on trust could run a key again that another home has run.
     */
    public hasServedBefore(service: string, offset: number): boolean {
        return !this.isFromStart || (this.firstServed.get(service) ?? Infinity) < offset;
    }

    /** Applies records in log order. Returns whether the members changed. */
    public applyPage(page: RosterPage): boolean {
        let changed = false;
        if (page.firstOffset > this.next) {
            this.openGap(page.firstOffset);
        }
        for (const record of page.records) {
            if (record.offset > this.next) {
                this.openGap(record.offset);
            }
            if (record.offset === this.next) {
                this.next++;
                changed = this.applyRecord(record) || changed;
            }
        }
        return changed;
    }

    /** Records are missing. Members stay until they expire: dropping them would leave nobody to route to. */
    private openGap(startOffset: number): void {
        this.next = startOffset;
        this.isFromStart = false;
        this.isGapOpen = true;
        this.knownSinceMs = Infinity;
    }

    private advanceTime(atMs: number): void {
        const silenceMs = Math.max(0, atMs - (this.lastRecordAtMs ?? atMs));
        this.activeMs += silenceMs > this.times.memberLifetimeMs * outageShare ? 0 : silenceMs;
        this.lastRecordAtMs = atMs;
        if (this.isGapOpen) {
            this.isGapOpen = false;
            // Whoever was a member before the gap and still is has renewed by then.
            this.knownSinceMs = atMs + this.times.memberLifetimeMs;
        }
    }

    private applyRecord(record: RosterPage["records"][number]): boolean {
        this.advanceTime(record.appendedAtMs);
        const expired = this.removeExpired(record.offset, record.appendedAtMs);
        const parsed = rosterRecordSchema.safeParse(record.value);
        if (!parsed.success) {
            return expired;
        }
        const changed =
            parsed.data.type === "register"
                ? this.applyRegister(record.offset, record.appendedAtMs, parsed.data)
                : this.applyLeave(record.offset, record.appendedAtMs, parsed.data);
        return changed || expired;
    }

    private applyRegister(offset: number, atMs: number, record: RegisterRecord): boolean {
        const { entry } = record;
        const present = this.memberTable.get(entry.daemonId);
        if (this.isLate(record, present)) {
            return false;
        }
        const isSameProcess = present?.entry.incarnation === entry.incarnation;
        const registration = isSameProcess ? present.registration : (record.registration ?? offset);
        const renewal = { renewedAtMs: atMs, renewedAtActiveMs: this.activeMs, knownUpTo: record.knownUpTo };
        const member: RosterMember = { entry, registration, ...renewal };
        if (isSameProcess && isDeepStrictEqual(present.entry, entry)) {
            this.memberTable.set(entry.daemonId, member);
            return false;
        }
        this.closeSpan(entry.daemonId, offset, atMs);
        this.memberTable.set(entry.daemonId, member);
        const openEnd = { untilOffset: undefined, untilMs: undefined };
        this.spanTable.push({ entry, registration, fromOffset: offset, fromMs: atMs, ...openEnd });
        for (const service of entry.role === "agent" ? entry.services : []) {
            this.firstServed.set(service, Math.min(this.firstServed.get(service) ?? Infinity, registration));
        }
        return true;
    }

    /**
     * An append whose answer was lost may land after the daemon has left, or after it or a newer process has registered
     * again. Taken for valid, it would bring a stopped daemon or its old services back into the roster, and keys would
     * go to a home that does not answer. The writer says what it had read, so that every reader can tell.
     */
    private isLate(record: RegisterRecord, present: RosterMember | undefined): boolean {
        const { daemonId, incarnation } = record.entry;
        const departure = this.departures.get(daemonId);
        if (departure !== undefined && departure.offset > record.knownUpTo && departure.incarnation >= incarnation) {
            return true;
        }
        if (present === undefined || present.entry.incarnation < incarnation) {
            return false;
        }
        return present.entry.incarnation > incarnation || present.knownUpTo > record.knownUpTo;
    }

    private applyLeave(offset: number, atMs: number, record: LeaveRecord): boolean {
        const present = this.memberTable.get(record.daemonId);
        if (present !== undefined && present.entry.incarnation > record.incarnation) {
            return false;
        }
        if (record.registration !== undefined && present !== undefined && present.registration > record.registration) {
            return false;
        }
        this.departures.set(record.daemonId, { incarnation: record.incarnation, offset, atActiveMs: this.activeMs });
        return this.closeSpan(record.daemonId, offset, atMs);
    }

    private closeSpan(daemonId: string, untilOffset: number, untilMs: number): boolean {
        this.spanTable = this.spanTable.map(span =>
            span.entry.daemonId === daemonId && span.untilOffset === undefined
                ? { ...span, untilOffset, untilMs }
                : span,
        );
        return this.memberTable.delete(daemonId);
    }

    private removeExpired(offset: number, atMs: number): boolean {
        const expiresBeforeMs = this.activeMs - this.times.memberLifetimeMs;
        const expired = [...this.memberTable.values()].filter(member => member.renewedAtActiveMs < expiresBeforeMs);
        expired.forEach(member => this.closeSpan(member.entry.daemonId, offset, atMs));
        for (const [daemonId, departure] of this.departures) {
            if (departure.atActiveMs < expiresBeforeMs) {
                this.departures.delete(daemonId);
            }
        }
        const forgetBeforeMs = atMs - this.times.historyMs;
        if (this.spanTable.some(span => span.untilMs !== undefined && span.untilMs < forgetBeforeMs)) {
            this.spanTable = this.spanTable.filter(
                span => span.untilMs === undefined || span.untilMs >= forgetBeforeMs,
            );
        }
        return expired.length > 0;
    }
}
