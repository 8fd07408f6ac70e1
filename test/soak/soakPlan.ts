import type { SeededRandom } from "../../src/base/random.js";

/** Faults and planned changes that the soak knows. */
export const faultKinds = [
    "router-kill",
    "router-kill-all",
    "router-term",
    "router-roll",
    "router-pause",
    "router-hup",
    "callers-reset",
    "callers-frozen",
    "callers-one-way",
    "callers-delayed",
    "store-link-cut",
    "store-link-frozen",
    "store-link-one-way",
    "store-away",
    "store-lapse",
    "store-history",
    "store-garbage",
    "target-reset",
    "target-frozen",
    "target-one-way",
    "target-delayed",
    "target-crash",
    "target-reborn",
    "target-drain",
    "target-moved",
    "target-grey",
    "target-hang",
    "target-spoilt",
    "target-shed",
    "route-added",
    "route-storm",
    "key-revoked",
    "data-centre-out",
] as const;

/** Drawn besides, so that the plans of earlier seeds keep their faults: what answers alone show, and requests that end targets. */
export const signalKinds = ["target-leaves", "target-pauses", "target-fatal"] as const;

/** Drawn besides in the same way: versions that are rolled out, and answers without end. */
export const versionKinds = ["target-version-sound", "target-version-bad", "target-endless"] as const;

/** Drawn besides in the same way: targets that leave unannounced, and a store that is up while reads fail or stall. */
export const recordKinds = ["target-removed", "target-removed-later", "store-throttling", "store-stalled"] as const;

/** Drawn besides in the same way: versions that serve side by side without an order, and a part of prompts that ends targets. */
export const besideKinds = ["target-version-beside", "target-reborn-version", "target-fatal-part"] as const;

/** Drawn besides in the same way: sound targets that stand still and go on, one or several at once. */
export const silentKinds = ["target-silent", "targets-silent"] as const;

/** Drawn besides in the same way: a store that stands still and goes on. */
export const storeKinds = ["store-silent"] as const;

/** Drawn besides in the same way: clients that send far more than they may have served, and read all of it or nothing. */
export const clientKinds = ["clients-crowd"] as const;

export type FaultKind =
    | (typeof faultKinds)[number]
    | (typeof signalKinds)[number]
    | (typeof versionKinds)[number]
    | (typeof recordKinds)[number]
    | (typeof besideKinds)[number]
    | (typeof silentKinds)[number]
    | (typeof storeKinds)[number]
    | (typeof clientKinds)[number];

/** Whether a fault leaves all targets sound, so that it excuses no answer of theirs that is lost. */
export function isSoundForTargets(kind: FaultKind): boolean {
    return kind === "target-silent" || !kind.startsWith("target-");
}

/** One entry of a plan. */
export interface PlannedFault {
    readonly kind: FaultKind;
    /** From the start of traffic; milliseconds. */
    readonly atMs: number;
    readonly forMs: number;
    /** Chooses among routers, targets or variants, 0 to 1. */
    readonly pick: number;
}

const fewestFaults = 3;
const mostFaults = 14;
const shortestMs = 200;
const longestMs = 3_000;
/** Part of the entries that come in a series, close behind the one before. */
const seriesShare = 0.4;
const seriesGapMs = 300;
const mostSignals = 4;
const mostVersions = 3;
const mostRecords = 5;
const mostBeside = 4;
const mostSilentSeries = 3;
const mostInSilentSeries = 3;
const silentGapMs = 900;
const shortestSilenceMs = 400;
const longestSilenceMs = 2_000;
/** What comes beside targets that are silent; `route-storm` stands twice, as most reports name changes of the configuration. */
const silentCompanions: readonly FaultKind[] = [
    "route-storm",
    "route-storm",
    "key-revoked",
    "router-hup",
    "router-term",
    "router-roll",
    "target-drain",
];
const companionShare = 0.7;
const mostStoreSilences = 2;
const mostCrowds = 2;
const mostPauseSeries = 2;
const shortestPauseMs = 1_000;
const longestPauseMs = 3_000;
const awayShare = 0.5;
/** What else separates the router that stands still from the others, behind its pause. */
const pauseCompanions: readonly FaultKind[] = ["store-link-cut", "store-link-frozen", "store-link-one-way"];

/** A random plan; the same for the same seed. Entries overlap and may repeat. */
export function createPlan(random: SeededRandom, lengthMs: number): readonly PlannedFault[] {
    const count = fewestFaults + Math.floor(random.next() * (mostFaults - fewestFaults + 1));
    const plan: PlannedFault[] = [];
    let lastAtMs = 0;
    for (let index = 0; index < count; index++) {
        const isSeries = index > 0 && random.next() < seriesShare;
        const atMs = isSeries ? lastAtMs + random.next() * seriesGapMs : random.next() * lengthMs;
        lastAtMs = Math.min(lengthMs, atMs);
        plan.push({
            kind: faultKinds[Math.floor(random.next() * faultKinds.length)],
            atMs: lastAtMs,
            forMs: shortestMs + random.next() * (longestMs - shortestMs),
            pick: random.next(),
        });
    }
    return plan.sort((a, b) => a.atMs - b.atMs);
}

/** Targets that leave or pause, as their answers alone show; the same for the same seed. */
export function createSignalPlan(random: SeededRandom, lengthMs: number): readonly PlannedFault[] {
    return createFaults(random, lengthMs, signalKinds, mostSignals);
}

/** Versions that are rolled out, and answers without end; the same for the same seed. */
export function createVersionPlan(random: SeededRandom, lengthMs: number): readonly PlannedFault[] {
    return createFaults(random, lengthMs, versionKinds, mostVersions);
}

/** Records that go, and reads of them that fail or wait in vain; the same for the same seed. */
export function createRecordPlan(random: SeededRandom, lengthMs: number): readonly PlannedFault[] {
    return createFaults(random, lengthMs, recordKinds, mostRecords);
}

/** Versions that serve side by side without an order; the same for the same seed. */
export function createBesidePlan(random: SeededRandom, lengthMs: number): readonly PlannedFault[] {
    return createFaults(random, lengthMs, besideKinds, mostBeside);
}

/** Sound targets that are silent for a time, in series and beside changes, signals and restarts; the same for the same seed. */
export function createSilentPlan(random: SeededRandom, lengthMs: number, fewest = 0): readonly PlannedFault[] {
    const count = fewest + Math.floor(random.next() * (mostSilentSeries + 1));
    return Array.from({ length: count }, () => createSilentSeries(random, random.next() * lengthMs)).flat();
}

function createSilentSeries(random: SeededRandom, startMs: number): readonly PlannedFault[] {
    const count = 1 + Math.floor(random.next() * mostInSilentSeries);
    const series: PlannedFault[] = [];
    let atMs = startMs;
    for (let index = 0; index < count; index++) {
        const forMs = selectBetween(random, shortestSilenceMs, longestSilenceMs);
        series.push({ kind: selectFrom(random, silentKinds), atMs, forMs, pick: random.next() });
        if (random.next() < companionShare) {
            series.push({ ...createFault(random, silentCompanions, forMs), atMs: atMs + random.next() * forMs });
        }
        atMs += random.next() * (forMs + silentGapMs);
    }
    return series;
}

/** A store that is silent for a time; the same for the same seed. */
export function createStorePlan(random: SeededRandom, lengthMs: number): readonly PlannedFault[] {
    return createFaults(random, lengthMs, storeKinds, mostStoreSilences);
}

/** Clients that misbehave; the same for the same seed. */
export function createClientPlan(random: SeededRandom, lengthMs: number): readonly PlannedFault[] {
    return createFaults(random, lengthMs, clientKinds, mostCrowds);
}

/** Routers that stand still while targets of another version join, some of them away from the store; the same for the same seed. */
export function createPausePlan(random: SeededRandom, lengthMs: number): readonly PlannedFault[] {
    const count = Math.floor(random.next() * (mostPauseSeries + 1));
    return Array.from({ length: count }, () => createPauseSeries(random, random.next() * lengthMs)).flat();
}

function createPauseSeries(random: SeededRandom, atMs: number): readonly PlannedFault[] {
    const forMs = selectBetween(random, shortestPauseMs, longestPauseMs);
    // The same pick is the same router.
    const pick = random.next();
    const beside = createFault(random, ["target-version-beside"], forMs);
    const away = createFault(random, pauseCompanions, longestMs);
    const series: readonly PlannedFault[] = [
        { kind: "router-pause", atMs, forMs, pick },
        { ...beside, atMs: atMs + beside.atMs },
        { ...away, atMs: atMs + (away.atMs * forMs) / longestMs, forMs: forMs + away.forMs, pick },
    ];
    return random.next() < awayShare ? series : series.slice(0, -1);
}

function createFaults(
    random: SeededRandom,
    lengthMs: number,
    kinds: readonly FaultKind[],
    most: number,
): readonly PlannedFault[] {
    const count = Math.floor(random.next() * (most + 1));
    return Array.from({ length: count }, () => createFault(random, kinds, lengthMs));
}

function createFault(random: SeededRandom, kinds: readonly FaultKind[], lengthMs: number): PlannedFault {
    return {
        kind: selectFrom(random, kinds),
        atMs: random.next() * lengthMs,
        forMs: selectBetween(random, shortestMs, longestMs),
        pick: random.next(),
    };
}

function selectFrom<T>(random: SeededRandom, list: readonly T[]): T {
    return list[Math.floor(random.next() * list.length)];
}

function selectBetween(random: SeededRandom, least: number, most: number): number {
    return least + random.next() * (most - least);
}
