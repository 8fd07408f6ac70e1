/**
 * Which versions a service had, as stored outside of the routers: after all of them have ended, none knows it any more.
 *
 * A record covers the streams that began since `observedFrom`. Streams can only begin at a router that is up, so that a version that no
 * router ever saw has begun no stream, and times without any router need not be excluded. A version that was present when the last
 * router ended counts as seen until the next one reads the record.
 *
 * Times of day differ between machines and may jump by seconds; `clockMarginMs` covers that, and the seconds by which one router sees a
 * version leave later than another one.
 */

import { hashText } from "../../base/hash.js";
import type { VersionHistory } from "./versionHistory.js";

/** A version with its last observation. */
export interface RecordedVersion {
    readonly version: string;
    /** Undefined while the service has targets of the version. */
    readonly lastSeen: Date | undefined;
}

/** Which versions a service had, and until when. */
export interface VersionRecord {
    readonly service: string;
    /** Since when each version that a router saw is listed. */
    readonly observedFrom: Date;
    /** Whether no stream began before `observedFrom`: the first router found no records of any service. */
    readonly isFirst: boolean;
    readonly versions: readonly RecordedVersion[];
}

/** A record on a router's monotonic clock. */
export interface VersionCoverage {
    /** Streams that began since this time are covered; milliseconds. */
    readonly coveredFromMs: number;
    /** Times at which the versions were last seen, the present for those that had not left. */
    readonly versions: readonly { readonly version: string; readonly lastSeenAtMs: number }[];
}

/** Current times on both clocks of a router. */
export interface ClockTimes {
    readonly nowMs: number;
    readonly nowDate: Date;
}

const clockMarginMs = 10_000;
/** Versions are removed from a record this long after their targets have left; longer than any stream lasts. Milliseconds. */
const retentionMs = 3_600_000;
/** Maximum number of versions in a record. */
const maxVersions = 16;
/** Longer names of versions are recorded as a hash. */
const maxVersionLength = 128;

/** Creates a record of what a router has observed or read since `startedAtMs`, on its monotonic clock. */
export function createVersionRecord(
    service: string,
    history: Pick<VersionHistory, "computeCoveredFromMs" | "listObserved">,
    startedAtMs: number,
    { nowMs, nowDate }: ClockTimes,
): VersionRecord {
    const toDate = (atMs: number): Date => new Date(nowDate.getTime() - (nowMs - atMs));
    const coveredFromMs = history.computeCoveredFromMs(service);
    const isFirst = coveredFromMs === Number.NEGATIVE_INFINITY;
    return {
        service,
        observedFrom: toDate(isFirst ? startedAtMs : coveredFromMs),
        isFirst,
        versions: history.listObserved(service).map(({ version, lastSeenAtMs }) => ({
            version: version.length > maxVersionLength ? hashText(version) : version,
            lastSeen: lastSeenAtMs === undefined ? undefined : toDate(lastSeenAtMs),
        })),
    };
}

/** Adds a router's observations to the stored record. What is removed from the record is no longer covered by it. */
export function mergeVersionRecords(
    stored: VersionRecord | undefined,
    observed: VersionRecord,
    nowDate: Date,
): VersionRecord {
    if (stored === undefined) {
        return removeOld(observed, nowDate);
    }
    const merged = new Map(stored.versions.map(entry => [entry.version, entry.lastSeen]));
    for (const { version, lastSeen } of observed.versions) {
        const known = merged.get(version);
        merged.set(version, lastSeen === undefined || known === undefined ? lastSeen : findLatest(lastSeen, known));
    }
    const versions = [...merged].map(([version, lastSeen]) => ({
        version,
        lastSeen: lastSeen === undefined ? undefined : findEarliest(lastSeen, nowDate),
    }));
    return removeOld(
        {
            service: stored.service,
            observedFrom: findEarliest(stored.observedFrom, observed.observedFrom),
            isFirst: stored.isFirst || observed.isFirst,
            versions,
        },
        nowDate,
    );
}

/** Whether the stored record shows a router's observations, except for differences between the routers' clocks and views. */
export function isRecorded(stored: VersionRecord | undefined, observed: VersionRecord, nowDate: Date): boolean {
    if (stored === undefined) {
        return false;
    }
    const merged = mergeVersionRecords(stored, observed, nowDate);
    const known = new Map(stored.versions.map(entry => [entry.version, entry]));
    return (
        merged.versions.length === stored.versions.length &&
        merged.versions.every(entry => isSame(entry, known.get(entry.version)))
    );
}

/** Converts a record's times to a router's monotonic clock, cautiously: later by the margin, but not in the future. */
export function computeVersionCoverage(
    { observedFrom, isFirst, versions }: VersionRecord,
    { nowMs, nowDate }: ClockTimes,
): VersionCoverage {
    const toMonotonic = (date: Date): number =>
        Math.min(nowMs, nowMs - (nowDate.getTime() - date.getTime()) + clockMarginMs);
    return {
        coveredFromMs: isFirst ? Number.NEGATIVE_INFINITY : toMonotonic(observedFrom),
        versions: versions.map(({ version, lastSeen }) => ({
            version,
            lastSeenAtMs: lastSeen === undefined ? nowMs : toMonotonic(lastSeen),
        })),
    };
}

/** Removes versions that left long ago and those beyond the maximum number, and shortens the covered time accordingly. */
function removeOld(record: VersionRecord, nowDate: Date): VersionRecord {
    const fromTime = nowDate.getTime() - retentionMs;
    const sorted = [...record.versions].sort((one, other) => compareLastSeen(other, one));
    const kept = sorted
        .filter(({ lastSeen }) => lastSeen === undefined || lastSeen.getTime() >= fromTime)
        .slice(0, maxVersions);
    // The versions are sorted, so that the first removed one was seen last.
    const removed = sorted.find(entry => !kept.includes(entry));
    return removed === undefined
        ? { ...record, versions: kept }
        : {
              ...record,
              observedFrom: findLatest(record.observedFrom, removed.lastSeen ?? nowDate),
              isFirst: false,
              versions: kept,
          };
}

/** Present versions come last; versions with equal times are ordered by name, so that all routers remove the same ones. */
function compareLastSeen(one: RecordedVersion, other: RecordedVersion): number {
    const oneTime = one.lastSeen?.getTime() ?? Number.MAX_VALUE;
    const otherTime = other.lastSeen?.getTime() ?? Number.MAX_VALUE;
    return oneTime - otherTime || (one.version < other.version ? -1 : 1);
}

function isSame({ lastSeen }: RecordedVersion, known: RecordedVersion | undefined): boolean {
    if (known === undefined || lastSeen === undefined || known.lastSeen === undefined) {
        return known !== undefined && lastSeen === known.lastSeen;
    }
    return Math.abs(lastSeen.getTime() - known.lastSeen.getTime()) <= clockMarginMs;
}

function findLatest(one: Date, other: Date): Date {
    return one > other ? one : other;
}

function findEarliest(one: Date, other: Date): Date {
    return one < other ? one : other;
}
