import type { EngineOptions } from "./engine.js";

/** How much of the fleet's capacity an account asks for, and when. */
export interface LoadPhase {
    readonly fromMs: number;
    readonly untilMs: number;
    /** Offered work over the capacity of all targets. */
    readonly share: number;
}

/** A client account and its load. */
export interface AccountLoad {
    readonly name: string;
    readonly size: "department" | "middle" | "small";
    readonly weight: number;
    readonly longShare: number;
    /** Distinct prompt prefixes; 0 for none. */
    readonly prefixes: number;
    /** 1: all prefixes alike; larger: the first ones take most. */
    readonly prefixSkew: number;
    /** Replaces the class's own deadline. */
    readonly deadlineMs?: number;
    readonly load: readonly LoadPhase[];
}

/** Something that happens to the fleet. */
export type Fault =
    | { readonly kind: "dataCentreOut" | "dataCentreIn"; readonly atMs: number; readonly dataCentre: string }
    | { readonly kind: "turnCold"; readonly atMs: number; readonly agentIndexes: readonly number[] }
    | {
          readonly kind: "slow";
          readonly atMs: number;
          readonly agentIndexes: readonly number[];
          readonly slowness: number;
      }
    /** Daemons of the data centre and all others no longer reach each other. */
    | { readonly kind: "cut" | "heal"; readonly atMs: number; readonly dataCentre: string };

/** One benchmark: the fleet, its load and what happens. Times in milliseconds. */
export interface Scenario {
    readonly name: string;
    readonly description: string;
    readonly routerDataCentres: readonly string[];
    readonly agentDataCentres: readonly string[];
    readonly engine: EngineOptions;
    readonly accounts: readonly AccountLoad[];
    readonly faults: readonly Fault[];
    /** Callers come until then; what is open is answered after it. */
    readonly untilMs: number;
    /** Waits, utilisation and gap count from here, when windows have grown. */
    readonly measureFromMs: number;
    /** One-way times. */
    readonly callerTripMs: number;
    readonly localTripMs: number;
    readonly dataCentreTripMs: number;
    readonly maxWaitingTotal: number;
}
