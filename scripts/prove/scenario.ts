import type { FleetOptions } from "../../test/fakes/fleet.js";
import type { PointNumber } from "./point.js";
import type { ProofRun } from "./proofRun.js";

/** One kind of fault run over real processes. */
export interface Scenario {
    readonly name: string;
    readonly summary: string;
    /** Points of the brief that the run can breach; the report counts it for them. */
    readonly points: readonly PointNumber[];
    readonly options?: Partial<FleetOptions>;
    /** Whether the usual callers of all accounts send all the time; true when left out. */
    readonly hasWorkload?: boolean;
    /** Injects the faults. */
    run(run: ProofRun): Promise<void>;
}

/** Points that every run with the usual callers can breach. */
export const usualPoints: readonly PointNumber[] = [2, 3, 5, 6, 7, 10];
