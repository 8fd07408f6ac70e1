import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { VersionHistory } from "../../../src/decisions/versions/versionHistory.js";
import {
    computeVersionCoverage,
    createVersionRecord,
    isRecorded,
    mergeVersionRecords,
    type ClockTimes,
    type VersionRecord,
} from "../../../src/decisions/versions/versionRecord.js";

const service = "engines";
const originTime = Date.UTC(2026, 0, 1);
const routerCount = 3;
/** Clocks of two machines differ by less than the margin of 10 s. */
const maxClockErrorMs = 4_000;
const periods = [1_000, 20_000, 48_000, 200_000];

type Step =
    | { readonly kind: "wait"; readonly ms: number }
    | { readonly kind: "toggle"; readonly version: string }
    | { readonly kind: "start" | "end"; readonly router: number }
    /** All routers end, and the record can't be decoded any more. */
    | { readonly kind: "spoil" }
    /** The clock of a machine jumps. */
    | { readonly kind: "jump"; readonly router: number; readonly ms: number };

const clockError = fc.integer({ min: -maxClockErrorMs, max: maxClockErrorMs });
const router = fc.integer({ min: 0, max: routerCount - 1 });
const step: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 4,
        arbitrary: fc.record({ kind: fc.constant("wait" as const), ms: fc.integer({ min: 1, max: 60_000 }) }),
    },
    {
        weight: 3,
        arbitrary: fc.record({ kind: fc.constant("toggle" as const), version: fc.constantFrom("v1", "v2", "v3") }),
    },
    { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom("start" as const, "end" as const), router }) },
    { weight: 1, arbitrary: fc.constant({ kind: "spoil" as const }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("jump" as const), router, ms: clockError }) },
);

/** Routers that start, end and write the record, and the versions at which streams can have begun. */
class Fleet {
    private nowMs = 0;
    private stored: VersionRecord | undefined;
    private isSpoilt = false;
    private readonly present = new Set<string>();
    private readonly running = new Map<number, { readonly history: VersionHistory; readonly startedAtMs: number }>();
    private readonly clockErrors: number[];
    /** When each version last could begin a stream: present while any router was up. */
    private readonly lastUsableAt = new Map<string, number>();

    public constructor(clockErrors: readonly number[]) {
        this.clockErrors = [...clockErrors];
    }

    public apply(change: Step): void {
        switch (change.kind) {
            case "wait":
                this.observeUsable();
                this.nowMs += change.ms;
                break;
            case "toggle":
                this.observeUsable();
                this.applyToggle(change.version);
                break;
            case "start":
                this.start(change.router);
                break;
            case "end":
                this.observeUsable();
                this.running.delete(change.router);
                break;
            case "spoil":
                this.observeUsable();
                this.running.clear();
                this.isSpoilt = true;
                this.stored = undefined;
                break;
            case "jump":
                this.clockErrors[change.router] = change.ms;
        }
        this.observeUsable();
        this.running.forEach((...[, id]) => this.write(id));
    }

    /** Routers that take a single version for the only one that can have begun a stream while another one can. */
    public listFaults(): readonly string[] {
        return [...this.running].flatMap(([id, { history }]) =>
            periods.flatMap(periodMs => {
                const seen = history.findSeen(service, periodMs, this.nowMs);
                const possible = [...this.lastUsableAt]
                    .filter(([, atMs]) => atMs >= this.nowMs - periodMs)
                    .map(([name]) => name);
                const isFault =
                    (seen.kind === "sole" && possible.some(version => version !== seen.version)) ||
                    (history.isUnused(service, periodMs, this.nowMs) && possible.length > 0);
                return isFault ? [`router ${id}, ${periodMs} ms: ${JSON.stringify(seen)}, not ${possible.join()}`] : [];
            }),
        );
    }

    private applyToggle(version: string): void {
        const isRemoved = this.present.delete(version);
        if (!isRemoved) {
            this.present.add(version);
        }
        for (const { history } of this.running.values()) {
            if (isRemoved) {
                history.removeTarget(service, version, this.nowMs);
            } else {
                history.addTarget(service, version);
            }
        }
    }

    private start(id: number): void {
        if (this.running.has(id)) {
            return;
        }
        const history = new VersionHistory(this.nowMs);
        this.present.forEach(version => history.addTarget(service, version));
        if (this.stored === undefined && !this.isSpoilt) {
            history.applyFirstStart();
        } else if (this.stored !== undefined) {
            history.applyCoverage(service, computeVersionCoverage(this.stored, this.getTimes(id)));
        }
        this.running.set(id, { history, startedAtMs: this.nowMs });
    }

    private write(id: number): void {
        const { history, startedAtMs } = this.running.get(id)!;
        const times = this.getTimes(id);
        const observed = createVersionRecord(service, history, startedAtMs, times);
        if (!isRecorded(this.stored, observed, times.nowDate)) {
            this.stored = mergeVersionRecords(this.stored, observed, times.nowDate);
        }
    }

    private observeUsable(): void {
        if (this.running.size > 0) {
            this.present.forEach(version => this.lastUsableAt.set(version, this.nowMs));
        }
    }

    private getTimes(id: number): ClockTimes {
        return { nowMs: this.nowMs, nowDate: new Date(originTime + this.nowMs + this.clockErrors[id]) };
    }
}

describe("the stored versions of a service", () => {
    // Routers start and end in any order, also all of them, with clocks that differ and jump by seconds.
    it("never hide a version at which a stream can have begun", () => {
        const errors = fc.array(clockError, { minLength: routerCount, maxLength: routerCount });
        fc.assert(
            fc.property(errors, fc.array(step, { maxLength: 40 }), (clockErrors, steps) => {
                const fleet = new Fleet(clockErrors);
                for (const change of steps) {
                    fleet.apply(change);
                    expect(fleet.listFaults()).toEqual([]);
                }
            }),
            { numRuns: 2_000 },
        );
    });

    const date = fc.integer({ min: 0, max: 7_200_000 }).map(ms => new Date(originTime + ms));
    const versions = fc.uniqueArray(
        fc.record({ version: fc.string({ maxLength: 3 }), lastSeen: fc.option(date, { nil: undefined }) }),
        { selector: ({ version }) => version, maxLength: 24 },
    );
    const record: fc.Arbitrary<VersionRecord> = fc.record({
        service: fc.constant(service),
        observedFrom: date,
        isFirst: fc.boolean(),
        versions,
    });
    const now = new Date(originTime + 7_200_000);

    // A record that never shows what a router observes would be written again and again.
    it("show what was merged into them, and are bounded", () => {
        fc.assert(
            fc.property(fc.option(record, { nil: undefined }), record, (stored, observed) => {
                const merged = mergeVersionRecords(stored, observed, now);
                expect([isRecorded(merged, observed, now), merged.versions.length <= 16]).toEqual([true, true]);
            }),
        );
    });

    // Without this, a record would cover streams of versions that it no longer lists.
    it("do not cover the time of versions that were removed from them", () => {
        fc.assert(
            fc.property(record, record, (stored, observed) => {
                const merged = mergeVersionRecords(stored, observed, now);
                const kept = new Set(merged.versions.map(({ version }) => version));
                const removed = [...stored.versions, ...observed.versions].filter(({ version }) => !kept.has(version));
                const isHonest = observed.versions.every(
                    ({ version, lastSeen }) => kept.has(version) || (lastSeen ?? now) <= merged.observedFrom,
                );
                expect([isHonest, merged.isFirst && removed.length > 0]).toEqual([true, false]);
            }),
        );
    });
});
