import type { FleetEvent } from "../../src/events/fleetEvent.js";
import { countRunsByKey, fetchEngineRuns, fetchPlainRuns, type EngineRuns } from "../../test/fakes/targetRuns.js";
import type { ProofRun } from "./proofRun.js";

/** What the stand-ins know at the end of a run. */
export interface TargetEvidence {
    readonly engines: ReadonlyMap<string, EngineRuns>;
    readonly runsByKey: ReadonlyMap<string, number>;
    /** How often a body ran at the plain services, by its SHA-256. */
    readonly runsByBody: ReadonlyMap<string, number>;
    /** Events of all stand-ins. */
    readonly events: readonly FleetEvent[];
}

/** Reads from the stand-ins what ran. */
export async function fetchTargetEvidence(run: ProofRun): Promise<TargetEvidence> {
    const engines = new Map<string, EngineRuns>();
    const events: FleetEvent[] = [];
    const runsByBody = new Map<string, number>();
    for (const target of run.fleet.targets) {
        const isModel = target.kind === "model";
        if (isModel) {
            engines.set(target.name, await fetchEngineRuns(run.fleet, target.name));
        } else {
            for (const { bodyDigest } of (await fetchPlainRuns(run.fleet, target.name)).runs) {
                runsByBody.set(bodyDigest, (runsByBody.get(bodyDigest) ?? 0) + 1);
            }
        }
        const path = isModel ? "/events" : "/__events";
        const response = await fetch(`${run.fleet.getStandIn(target.name).url}${path}`);
        events.push(...((await response.json()) as { events: FleetEvent[] }).events);
    }
    return { engines, runsByKey: await countRunsByKey(run.fleet), runsByBody, events };
}
