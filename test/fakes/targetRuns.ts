import type { Fleet } from "./fleet.js";

/** One run at the plain service. */
export interface PlainRunSeen {
    readonly key?: string;
    readonly requestId?: string;
    readonly path: string;
    readonly bodyDigest: string;
    readonly state: "running" | "ended";
}

/** What one plain service ran. */
export interface PlainRuns {
    readonly total: number;
    readonly running: number;
    readonly counts: Readonly<Record<string, number>>;
    readonly runs: readonly PlainRunSeen[];
}

/** One run at a model engine. */
export interface EngineRunSeen {
    readonly requestId: string;
    readonly state: "waiting" | "running" | "completed" | "cancelled" | "broken";
    readonly promptDigest: string;
    readonly promptTokens: number;
    readonly generatedTokens: number;
    readonly answerDigest: string;
}

/** What one engine ran. */
export interface EngineRuns {
    readonly maxOpen: number;
    readonly maxOpenWhileCold: number;
    readonly coldLimit: number;
    readonly falls: number;
    readonly overloads: readonly { readonly coldForMs: number; readonly open: number }[];
    readonly cold: boolean;
    readonly open: number;
    readonly runs: readonly EngineRunSeen[];
}

/** What the engine of a target ran. */
export async function fetchEngineRuns(fleet: Fleet, target: string): Promise<EngineRuns> {
    return (await (await fetch(`${fleet.getStandIn(target).url}/runs`)).json()) as EngineRuns;
}

/** What the plain service of a target ran. */
export async function fetchPlainRuns(fleet: Fleet, target: string): Promise<PlainRuns> {
    return (await (await fetch(`${fleet.getStandIn(target).url}/__runs`)).json()) as PlainRuns;
}

/** How often each key ran, over all plain services of the fleet. */
export async function countRunsByKey(fleet: Fleet): Promise<ReadonlyMap<string, number>> {
    const counts = new Map<string, number>();
    for (const target of fleet.targets.filter(candidate => candidate.kind === "plain")) {
        for (const [key, count] of Object.entries((await fetchPlainRuns(fleet, target.name)).counts)) {
            counts.set(key, (counts.get(key) ?? 0) + count);
        }
    }
    return counts;
}

/** Switches a fault of a target on; `ok` ends it. */
export async function setTargetFault(fleet: Fleet, target: string, fault: object): Promise<void> {
    const isModel = fleet.targets.find(candidate => candidate.name === target)?.kind === "model";
    await fetch(`${fleet.getStandIn(target).url}${isModel ? "/faults" : "/__faults"}`, {
        method: "POST",
        body: JSON.stringify(fault),
    });
}
