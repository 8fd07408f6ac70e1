/**
 * Identifies prompt parts under which targets crash, whatever else the requests with the part contain.
 *
 * Load pattern: requests that share only one part of their prompts crash each target that begins to answer them. They come from any
 * caller at any router, no two alike, and each crash also ends the streams of other requests at the target.
 *
 * A crash accuses the shared parts of all requests that ran at the target; a complete response acquits those of its request. Parts are
 * held in the order of the crashes that they explain (greedy set cover), so that a part that merely accompanied a held one several
 * times is not held as well. Parts that no evidence distinguishes are held together: a request with all of them is refused, and one
 * with some of them is a trial, which decides between them.
 *
 * Evidence is merged by union, so reports may be lost, repeated and reordered.
 */
import { LRUCache } from "lru-cache";

/** Requests that ran at one incarnation of a target when it crashed, with the shared parts of their prompts. */
export interface PartEvidence {
    readonly service: string;
    /** 32-bit hash of the target's incarnation. */
    readonly incarnation: number;
    readonly parts: readonly string[];
    /** Weight of the evidence against each part, greater than 0. */
    readonly weight: number;
}

/** Parts that are held, for operators and for the platform's store. */
export interface HeldParts {
    readonly service: string;
    /** Requests with all of these parts are held; no evidence distinguishes them. */
    readonly parts: readonly string[];
    /** `leftMs`: time until a request may be tried; `holdMs`: total duration of the hold. Milliseconds. */
    readonly leftMs: number;
    readonly holdMs: number;
}

/** Decision on a request by the shared parts of its prompt. */
export type PartStatus =
    | { readonly kind: "clear" }
    | { readonly kind: "held" }
    /** It may run as a trial. `parts`: the held ones that it has; `hasAll`: whether they are all parts of a hold, which has expired. */
    | { readonly kind: "trial"; readonly parts: readonly string[]; readonly hasAll: boolean };

/** A change of what is held. */
export interface HoldChange {
    readonly added: readonly HeldParts[];
    readonly removed: readonly HeldParts[];
}

/** Weight of a run whose target crashed before its response or while it began. */
export const beginningRunWeight = 1;
/** Weight of a run that had produced output for longer: parts that crash targets do so when the response begins. */
export const laterRunWeight = 0.25;
/** Weight of a trial that crashed its target: it decides by itself. */
export const trialRunWeight = 3;
/** Weight from which a part is held: the sum over the crashes that no other part explains. */
const holdThreshold = 3;
/** Weight from which a request with the part is not sent to a further target after a crash. */
const suspectThreshold = 2;
/** Crashes within this time count as one: a common cause, such as a power failure, ends several targets together. */
const simultaneousMs = 50;
/** First trial of a held part; it soon corrects a wrong hold, at the cost of one target. Milliseconds. */
const firstHoldMs = 8_000;
/** Second hold in milliseconds; each further one is twice as long. */
const secondHoldMs = 600_000;
const maxHoldMs = 21_600_000;
/** Time for which a complete response acquits a part of further crashes, and after which evidence expires; milliseconds. */
const acquittalMs = 60_000;
const evidenceTtlMs = 600_000;
/** Bounds on what is stored: callers choose the ids of parts. */
const maxAcquitted = 8_000;
const maxCrashes = 128;
const maxHolds = 256;
/** Maximum number of parts of one crash. */
const maxPartsPerCrash = 256;

interface Crash {
    readonly service: string;
    readonly atMs: number;
    readonly weights: Map<string, number>;
}

interface Hold {
    readonly service: string;
    readonly parts: Set<string>;
    holdMs: number;
    untilMs: number;
}

/** A part with the crashes that accuse it. */
interface Suspect {
    readonly part: string;
    readonly incarnations: readonly number[];
    readonly weight: number;
}

/** Stores evidence on prompt parts and decides which of them are held. */
export class PartLedger {
    private readonly acquittedAtMs = new LRUCache<string, number>({ max: maxAcquitted });
    private readonly crashes = new LRUCache<number, Crash>({ max: maxCrashes });
    private holds: Hold[] = [];

    /** Whether the part was in the prompt of a recent complete response. */
    public isAcquitted(service: string, part: string, nowMs: number): boolean {
        const atMs = this.acquittedAtMs.get(createKey(service, part));
        return atMs !== undefined && nowMs - atMs < acquittalMs;
    }

    /** Whether there is evidence against the part. */
    public isAccused(service: string, part: string): boolean {
        return (
            this.holds.some(hold => hold.service === service && hold.parts.has(part)) ||
            [...this.crashes.values()].some(crash => crash.service === service && crash.weights.has(part))
        );
    }

    /** Adds evidence, and holds the parts that explain enough crashes. */
    public recordCrash({ service, incarnation, parts, weight }: PartEvidence, nowMs: number): HoldChange {
        const accused = parts.filter(part => !this.isAcquitted(service, part, nowMs));
        if (accused.length === 0) {
            return { added: [], removed: [] };
        }
        const crash = this.crashes.get(incarnation) ?? { service, atMs: nowMs, weights: new Map<string, number>() };
        this.crashes.set(incarnation, crash);
        for (const part of accused) {
            const known = crash.weights.get(part);
            if (known !== undefined || crash.weights.size < maxPartsPerCrash) {
                crash.weights.set(part, Math.max(known ?? 0, weight));
            }
        }
        return { added: [...this.updateExpiredHolds(crash, nowMs), ...this.addHolds(service, nowMs)], removed: [] };
    }

    /** Acquits the parts of a request that received a complete response. */
    public recordResponse(service: string, parts: readonly string[], nowMs: number): HoldChange {
        for (const part of parts) {
            this.acquittedAtMs.set(createKey(service, part), nowMs);
        }
        return this.removeEvidence(service, parts, nowMs);
    }

    /** Removes evidence and holds, as an operator demands; unlike a complete response it does not acquit the parts. */
    public release(service: string, parts: readonly string[], nowMs: number): HoldChange {
        return this.removeEvidence(service, parts, nowMs);
    }

    /** Whether requests of the service are held at all; false for nearly all requests. */
    public hasHolds(service: string): boolean {
        return this.holds.some(hold => hold.service === service);
    }

    /** Decides whether a request may run. */
    public check(service: string, parts: readonly string[], nowMs: number): PartStatus {
        const present = new Set(parts);
        const held: string[] = [];
        let hasAll = false;
        for (const hold of this.holds.filter(candidate => candidate.service === service)) {
            const common = [...hold.parts].filter(part => present.has(part));
            if (common.length === hold.parts.size && nowMs < hold.untilMs) {
                return { kind: "held" };
            }
            hasAll = hasAll || common.length === hold.parts.size;
            held.push(...common);
        }
        return held.length === 0 ? { kind: "clear" } : { kind: "trial", parts: held, hasAll };
    }

    /** Whether a request that ran at a crashed target must not be sent to a further one. */
    public isSuspect(service: string, parts: readonly string[], nowMs: number): boolean {
        return this.listSuspects(service, nowMs).some(
            ({ part, weight }) => weight >= suspectThreshold && parts.includes(part),
        );
    }

    /** Restores parts that were held before this process started. */
    public applyStored({ service, parts, leftMs, holdMs }: HeldParts, nowMs: number): void {
        const known = this.holds.find(hold => isSameHold(hold, service, parts));
        if (known === undefined) {
            this.holds = [...this.holds, { service, parts: new Set(parts), holdMs, untilMs: nowMs + leftMs }].slice(
                -maxHolds,
            );
        } else {
            known.untilMs = Math.max(known.untilMs, nowMs + leftMs);
            known.holdMs = Math.max(known.holdMs, holdMs);
        }
    }

    /** Parts that are held or wait for a trial. */
    public listHeld(nowMs: number): readonly HeldParts[] {
        return this.holds.map(hold => describeHold(hold, nowMs));
    }

    /** A crash during a trial of expired holds extends them. */
    private updateExpiredHolds(crash: Crash, nowMs: number): readonly HeldParts[] {
        const expired = this.holds.filter(hold => nowMs >= hold.untilMs && isExplained(crash, hold));
        for (const hold of expired) {
            hold.holdMs = hold.holdMs < secondHoldMs ? secondHoldMs : Math.min(maxHoldMs, hold.holdMs * 2);
            hold.untilMs = nowMs + hold.holdMs;
        }
        return expired.map(hold => describeHold(hold, nowMs));
    }

    private addHolds(service: string, nowMs: number): readonly HeldParts[] {
        const added: Hold[] = [];
        for (;;) {
            const suspects = this.listSuspects(service, nowMs);
            const [first] = suspects;
            if (first === undefined || first.weight < holdThreshold) {
                return added.map(hold => describeHold(hold, nowMs));
            }
            const alike = suspects.filter(suspect => isSameEvidence(suspect, first)).map(({ part }) => part);
            const hold = { service, parts: new Set(alike), holdMs: firstHoldMs, untilMs: nowMs + firstHoldMs };
            this.holds = [...this.holds, hold].slice(-maxHolds);
            added.push(hold);
        }
    }

    /** Parts with evidence from crashes that no held part explains; those with the most evidence come first. */
    private listSuspects(service: string, nowMs: number): readonly Suspect[] {
        const unexplained = [...this.crashes.entries()]
            .filter(([, crash]) => crash.service === service && nowMs - crash.atMs < evidenceTtlMs)
            .filter(([, crash]) => !this.holds.some(hold => hold.service === service && isExplained(crash, hold)))
            .sort(([, a], [, b]) => a.atMs - b.atMs);
        const crashesByPart = new Map<string, (readonly [incarnation: number, crash: Crash])[]>();
        for (const entry of unexplained) {
            for (const part of entry[1].weights.keys()) {
                crashesByPart.set(part, [...(crashesByPart.get(part) ?? []), entry]);
            }
        }
        return [...crashesByPart]
            .filter(([part]) => !this.isAcquitted(service, part, nowMs))
            .map(([part, entries]) => ({
                part,
                incarnations: entries.map(([incarnation]) => incarnation),
                weight: computeWeight(
                    part,
                    entries.map(([, crash]) => crash),
                ),
            }))
            .sort((a, b) => b.weight - a.weight);
    }

    private removeEvidence(service: string, parts: readonly string[], nowMs: number): HoldChange {
        for (const crash of this.crashes.values()) {
            if (crash.service === service) {
                parts.forEach(part => crash.weights.delete(part));
            }
        }
        const removed: HeldParts[] = [];
        const added: HeldParts[] = [];
        for (const hold of this.holds.filter(candidate => candidate.service === service)) {
            if (parts.some(part => hold.parts.has(part))) {
                removed.push(describeHold(hold, nowMs));
                parts.forEach(part => hold.parts.delete(part));
                added.push(...(hold.parts.size > 0 ? [describeHold(hold, nowMs)] : []));
            }
        }
        this.holds = this.holds.filter(hold => hold.parts.size > 0);
        return { added, removed };
    }
}

/** Sum over the crashes; of crashes at the same time only the one with the largest weight counts. `crashes`: in the order of time. */
function computeWeight(part: string, crashes: readonly Crash[]): number {
    let sum = 0;
    let atMs = Number.NEGATIVE_INFINITY;
    let largest = 0;
    for (const crash of crashes) {
        if (crash.atMs - atMs >= simultaneousMs) {
            sum += largest;
            largest = 0;
            atMs = crash.atMs;
        }
        largest = Math.max(largest, crash.weights.get(part) ?? 0);
    }
    return sum + largest;
}

function isExplained(crash: Crash, { service, parts }: Hold): boolean {
    return crash.service === service && [...parts].every(part => crash.weights.has(part));
}

function isSameEvidence(first: Suspect, second: Suspect): boolean {
    return first.incarnations.join(" ") === second.incarnations.join(" ") && first.weight === second.weight;
}

function isSameHold(hold: Hold, service: string, parts: readonly string[]): boolean {
    return hold.service === service && hold.parts.size === parts.length && parts.every(part => hold.parts.has(part));
}

function describeHold({ service, parts, holdMs, untilMs }: Hold, nowMs: number): HeldParts {
    return { service, parts: [...parts].sort(), leftMs: Math.max(0, untilMs - nowMs), holdMs };
}

function createKey(service: string, part: string): string {
    return `${service}\n${part}`;
}
