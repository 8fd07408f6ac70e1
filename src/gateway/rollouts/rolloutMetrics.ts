import { Gauge, type Registry } from "prom-client";
import { zeroCounts, type VersionCounts } from "../../decisions/rollouts/versionEvidence.js";
import type { RolloutView } from "./rollouts.js";

const labels = ["service", "version"] as const;
const resultLabels = [...labels, "side", "result"] as const;

/** Metrics on the state of roll-outs and on the requests to both versions since the order. */
export class RolloutMetrics {
    public constructor(registry: Registry, listRollouts: () => readonly RolloutView[]) {
        const registers = [registry];
        new Gauge({
            name: "lynxarch_rollout_state",
            help: "1 for the state that a service's roll-out is in: ordered, canary, ramp, switch, complete or rolled-back.",
            labelNames: [...labels, "state"],
            registers,
            collect(): void {
                this.reset();
                for (const { service, version, state, step } of listRollouts()) {
                    this.set({ service, version, state: state === "running" ? step : state }, 1);
                }
            },
        });
        new Gauge({
            name: "lynxarch_rollout_requests",
            help: "Requests since the order, by whether the new version or the old one got them and what became of them.",
            labelNames: resultLabels,
            registers,
            collect(): void {
                this.reset();
                for (const { service, version, routes } of listRollouts()) {
                    for (const side of ["candidate", "baseline"] as const) {
                        const { requests, failures, slow } = addCounts(routes.map(route => route[side]));
                        this.set({ service, version, side, result: "all" }, requests);
                        this.set({ service, version, side, result: "failed" }, failures);
                        this.set({ service, version, side, result: "slow" }, slow);
                    }
                }
            },
        });
    }
}

function addCounts(all: readonly VersionCounts[]): VersionCounts {
    return all.reduce(
        (sum, counts) => ({
            requests: sum.requests + counts.requests,
            failures: sum.failures + counts.failures,
            timed: sum.timed + counts.timed,
            slow: sum.slow + counts.slow,
        }),
        zeroCounts,
    );
}
