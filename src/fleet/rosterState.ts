import { isDeepStrictEqual } from "node:util";
import { z } from "zod";
import { rosterEntrySchema, type RosterEntry } from "./rosterEntry.js";

/** Registers a running daemon, or renews its registration; repeated well within the log's retention. */
export const registerRecordSchema = z.object({
    type: z.literal("register"),
    id: z.string(),
    entry: rosterEntrySchema,
    /** Last offset that the writer had read; -1 if none. */
    knownUpTo: z.number().int().min(-1),
    /** Offset of the renewed registration; set on renewals only. */
    registration: z.number().int().nonnegative().optional(),
});

/** Ends a membership: the daemon stops, or another daemon evicts it. */
export const leaveRecordSchema = z.object({
    type: z.literal("leave"),
    id: z.string(),
    daemonId: z.string(),
    incarnation: z.number().int(),
    reason: z.enum(["stopped", "evicted"]),
    /** Id of the daemon that wrote the record. */
    by: z.string(),
    /** Offset of the registration that an eviction ends; later registrations are not affected. */
    registration: z.number().int().nonnegative().optional(),
});

/** Schema of all records in an environment's roster stream. */
export const rosterRecordSchema = z.discriminatedUnion("type", [registerRecordSchema, leaveRecordSchema]);

/** A record that matches {@link registerRecordSchema}. */
export type RegisterRecord = Readonly<z.infer<typeof registerRecordSchema>>;
/** A record that matches {@link leaveRecordSchema}. */
export type LeaveRecord = Readonly<z.infer<typeof leaveRecordSchema>>;

/** A registered daemon. */
export interface RosterMember {
    readonly entry: RosterEntry;
    /** Offset of the registration that started this membership; fencing token of the daemon's orders and leases. */
    readonly registration: number;
    /** Time of the last registration or renewal; platform's clock. */
    readonly renewedAtMs: number;
    /** The same time on a scale that excludes outages of the log; see {@link RosterState}. */
    readonly renewedAtActiveMs: number;
    /** Last offset that the writer of the newest registration had read; -1 if none. */
    readonly knownUpTo: number;
}

/** A membership from registration to end. Offsets and times are those of the log. */
export interface RosterMembership {
    readonly entry: RosterEntry;
    readonly registration: number;
    /** Offset of the record that started the membership. */
    readonly fromOffset: number;
    readonly fromMs: number;
    /** Offset of the record that ended the membership; undefined while the daemon is a member. */
    readonly untilOffset: number | undefined;
    readonly untilMs: number | undefined;
}

/** Durations that the roster uses, derived from the log's retention. */
export interface RosterTimes {
    /** Time without renewal after which a member is dropped; at most a quarter of the log's retention. */
    readonly memberLifetimeMs: number;
    /** How long ended memberships are kept. */
    readonly historyMs: number;
}

/** Consecutive records of the roster stream. */
interface RosterPage {
    readonly records: readonly { readonly offset: number; readonly appendedAtMs: number; readonly value: unknown }[];
    readonly firstOffset: number;
}

interface Departure {
    readonly incarnation: number;
    readonly offset: number;
    readonly atActiveMs: number;
}

/**
 * An interval without records that is longer than this share of a member's lifetime counts as an outage, since a
 * running fleet renews more often.
 */
const outageShare = 1 / 2;

/** Name of an environment's roster stream in the platform's log. */
export function formatRosterStream(environment: string): string {
    return `roster-${environment}`;
}

/** Computes the roster's durations for a log that keeps records for `retentionMs`. */
export function computeRosterTimes(retentionMs: number): RosterTimes {
    return { memberLifetimeMs: retentionMs / 4, historyMs: retentionMs / 2 };
}

/**
 * The roster, computed deterministically from the records of its stream. Members renew several times per lifetime, and
 * a lifetime is far shorter than the log's retention. A reader without state therefore gets the same members from the
 * retained records alone, without snapshots. Expiry uses the log's time, so that all readers drop a member at the same
 * record.
 *
 * Outages of the log do not count towards expiry. Otherwise, after an outage longer than a lifetime, the first renewal
 * would drop all other members, and every key would change its owner while the other daemons reconnect.
 */
export class RosterState {
    private readonly memberTable = new Map<string, RosterMember>();
    private readonly departures = new Map<string, Departure>();
    private readonly firstServedOffsets = new Map<string, number>();
    private membershipTable: RosterMembership[] = [];
    private next = 0;
    private completeSinceMs = -Infinity;
    private isFromStart = true;
    private isAfterGap = false;
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

    /** Current memberships and those that ended within `historyMs`, in order of registration. */
    public get memberships(): readonly RosterMembership[] {
        return this.membershipTable;
    }

    /** Log time from which {@link memberships} is complete; -Infinity if the stream was read from its start. */
    public get historyCompleteSinceMs(): number {
        return this.completeSinceMs;
    }

    /** Memberships that were current immediately after the record at `offset`. */
    public listMembersAt(offset: number): readonly RosterMembership[] {
        return this.membershipTable.filter(
            membership =>
                membership.fromOffset <= offset &&
                (membership.untilOffset === undefined || membership.untilOffset > offset),
        );
    }

    /**
     * Whether an agent may have served the service before `offset`. Also true if the relevant records have expired: a
     * key owner that wrongly assumed "never" could run a request again that an earlier owner has already run.
     */
    public hasServedBefore(service: string, offset: number): boolean {
        return !this.isFromStart || (this.firstServedOffsets.get(service) ?? Infinity) < offset;
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

    /** Handles missing records. Members stay until they expire; otherwise there would be no agents to route to. */
    private openGap(startOffset: number): void {
        this.next = startOffset;
        this.isFromStart = false;
        this.isAfterGap = true;
        this.completeSinceMs = Infinity;
    }

    private advanceTime(atMs: number): void {
        const intervalMs = Math.max(0, atMs - (this.lastRecordAtMs ?? atMs));
        this.activeMs += intervalMs > this.times.memberLifetimeMs * outageShare ? 0 : intervalMs;
        this.lastRecordAtMs = atMs;
        if (this.isAfterGap) {
            this.isAfterGap = false;
            // By then, each member from before the gap has renewed or expired.
            this.completeSinceMs = atMs + this.times.memberLifetimeMs;
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
        const current = this.memberTable.get(entry.daemonId);
        if (this.isOutdated(record, current)) {
            return false;
        }
        const isSameProcess = current?.entry.incarnation === entry.incarnation;
        const registration = isSameProcess ? current.registration : (record.registration ?? offset);
        const renewal = { renewedAtMs: atMs, renewedAtActiveMs: this.activeMs, knownUpTo: record.knownUpTo };
        const member: RosterMember = { entry, registration, ...renewal };
        if (isSameProcess && isDeepStrictEqual(current.entry, entry)) {
            this.memberTable.set(entry.daemonId, member);
            return false;
        }
        this.closeMembership(entry.daemonId, offset, atMs);
        this.memberTable.set(entry.daemonId, member);
        const openEnd = { untilOffset: undefined, untilMs: undefined };
        this.membershipTable.push({ entry, registration, fromOffset: offset, fromMs: atMs, ...openEnd });
        for (const service of entry.role === "agent" ? entry.services : []) {
            this.firstServedOffsets.set(
                service,
                Math.min(this.firstServedOffsets.get(service) ?? Infinity, registration),
            );
        }
        return true;
    }

    /**
     * Whether a register record is outdated. A delayed append may reach the log after the daemon has left, or after the
     * daemon or a newer process has registered again. Applying the record would restore a stopped daemon or its old
     * services, and keys would be sent to an owner that does not respond. `knownUpTo` lets every reader detect this.
     */
    private isOutdated(record: RegisterRecord, current: RosterMember | undefined): boolean {
        const { daemonId, incarnation } = record.entry;
        const departure = this.departures.get(daemonId);
        if (departure !== undefined && departure.offset > record.knownUpTo && departure.incarnation >= incarnation) {
            return true;
        }
        if (current === undefined || current.entry.incarnation < incarnation) {
            return false;
        }
        return current.entry.incarnation > incarnation || current.knownUpTo > record.knownUpTo;
    }

    private applyLeave(offset: number, atMs: number, record: LeaveRecord): boolean {
        const current = this.memberTable.get(record.daemonId);
        if (current !== undefined && current.entry.incarnation > record.incarnation) {
            return false;
        }
        if (record.registration !== undefined && current !== undefined && current.registration > record.registration) {
            return false;
        }
        this.departures.set(record.daemonId, { incarnation: record.incarnation, offset, atActiveMs: this.activeMs });
        return this.closeMembership(record.daemonId, offset, atMs);
    }

    private closeMembership(daemonId: string, untilOffset: number, untilMs: number): boolean {
        this.membershipTable = this.membershipTable.map(membership =>
            membership.entry.daemonId === daemonId && membership.untilOffset === undefined
                ? { ...membership, untilOffset, untilMs }
                : membership,
        );
        return this.memberTable.delete(daemonId);
    }

    private removeExpired(offset: number, atMs: number): boolean {
        const expiresBeforeMs = this.activeMs - this.times.memberLifetimeMs;
        const expired = [...this.memberTable.values()].filter(member => member.renewedAtActiveMs < expiresBeforeMs);
        expired.forEach(member => this.closeMembership(member.entry.daemonId, offset, atMs));
        for (const [daemonId, departure] of this.departures) {
            if (departure.atActiveMs < expiresBeforeMs) {
                this.departures.delete(daemonId);
            }
        }
        const removeBeforeMs = atMs - this.times.historyMs;
        if (
            this.membershipTable.some(
                membership => membership.untilMs !== undefined && membership.untilMs < removeBeforeMs,
            )
        ) {
            this.membershipTable = this.membershipTable.filter(
                membership => membership.untilMs === undefined || membership.untilMs >= removeBeforeMs,
            );
        }
        return expired.length > 0;
    }
}
