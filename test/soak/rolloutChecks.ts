import type { Breach, SoakRecord, SoakRollout, TargetArrival } from "./records.js";
import type { RecordIndex } from "./soakChecks.js";

/** What a deployment allows a bad version; the same figures are in the routers' settings. */
const exposureShare = 0.1;
const exposureSlack = 50;
/** After a version is rolled back, requests are still under way to it for so long. */
const applyBoundMs = 2_000;

/** A roll-out goes one way: it runs, and ends once. */
export function checkOneWay({ rollouts }: SoakRecord): readonly Breach[] {
    return rollouts
        .filter(({ states }) => states.slice(0, -1).some(state => state !== "running"))
        .map(rollout => ({ promise: "a roll-out goes one way", evidence: describe(rollout) }));
}

/** Half of a bad version's answers are failures; it is not complete, and gets no more than its exposure. */
export function checkExposure(record: SoakRecord): readonly Breach[] {
    return record.rollouts
        .filter(({ isBad }) => isBad)
        .flatMap(rollout => {
            const { service, version, orderedAtMs, durationMs, states } = rollout;
            const arrived = record.arrivals.filter(
                ({ service: own, atMs, ran }) =>
                    own === service && ran && atMs >= orderedAtMs && atMs <= orderedAtMs + durationMs,
            );
            const exposed = arrived.filter(({ target }) => record.versions.get(target) === version).length;
            const most = exposureShare * arrived.length + exposureSlack;
            return exposed > most || states.includes("complete")
                ? [
                      {
                          promise: "a bad version gets few requests",
                          evidence: `${describe(rollout)}, ${exposed} of ${most}`,
                      },
                  ]
                : [];
        });
}

/** Routers that nothing disturbs send nothing to a version that was rolled back. */
export function checkRolledBack(record: SoakRecord, { calmness }: RecordIndex): readonly Breach[] {
    const byId = new Map(record.attempts.map(attempt => [attempt.id, attempt]));
    return record.rollouts
        .filter(({ states }) => states.includes("rolled_back"))
        .flatMap(rollout => {
            const endedAtMs = rollout.endedAtMs ?? Infinity;
            const isLate = ({ target, service, atMs, id }: TargetArrival): boolean => {
                const router = byId.get(id ?? "")?.router;
                return (
                    service === rollout.service &&
                    record.versions.get(target) === rollout.version &&
                    atMs > endedAtMs + applyBoundMs &&
                    router !== undefined &&
                    calmness.isRouterCalm(router, endedAtMs, atMs)
                );
            };
            return record.arrivals.filter(isLate).map(({ id, target, atMs }) => ({
                promise: "a version that was rolled back gets nothing more",
                evidence: `${describe(rollout)}: ${id} at ${target}, ${Math.round(atMs - endedAtMs)} ms later`,
            }));
        });
}

function describe({ service, version, isBad, states }: SoakRollout): string {
    return `${service} ${version} (${isBad ? "bad" : "sound"}): ${states.join(", ")}`;
}
