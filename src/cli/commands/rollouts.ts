import { ok, safeTry } from "neverthrow";
import type { VersionCounts } from "../../decisions/rollouts/versionEvidence.js";
import { fetchRollouts } from "../../gateway/rollouts/rolloutsApi.js";
import type { RolloutView } from "../../gateway/rollouts/rollouts.js";
import { UnavailableError, type CliError } from "../cliErrors.js";
import type { Command, Report } from "../command.js";
import { getRouterAddress, routerOption } from "../routerOption.js";
import { formatTable } from "../table.js";

const msPerSecond = 1_000;

/** Shows how roll-outs stand and what is known of the new versions. */
export const rollouts: Command = {
    usage: "rollouts",
    description: "Show the roll-outs of services to other versions, and what speaks for or against each",
    options: [routerOption],
    run: invocation =>
        safeTry<Report, CliError>(async function* () {
            const address = yield* getRouterAddress(invocation);
            const found = yield* await fetchRollouts(address).mapErr(error => new UnavailableError(error.message));
            const header = ["SERVICE", "VERSION", "STATE", "SECONDS", "VERDICT", "ROUTE", "NEW", "OLD"];
            const lines = formatTable([header, ...found.flatMap(describeRollout)]);
            return ok({ json: { rollouts: found }, lines: [...lines, ...found.map(describeReason)] });
        }),
};

/** A row for each route, the roll-out's own figures in the first one. */
function describeRollout(view: RolloutView): readonly (readonly string[])[] {
    const seconds = `${toSeconds(view.ageMs)} of ${toSeconds(view.durationMs)}`;
    const state = view.state === "running" ? view.step : view.state;
    const own = [view.service, view.version, state, seconds, view.verdict ?? "-"];
    const rows = view.routes.map(({ route, candidate, baseline }, index) => [
        ...(index === 0 ? own : own.map(() => "")),
        route,
        describeCounts(candidate),
        describeCounts(baseline),
    ]);
    return rows.length === 0 ? [[...own, "-", "-", "-"]] : rows;
}

function describeReason({ service, version, state, reason }: RolloutView): string {
    return `${service} ${version} ${state}: ${reason === "" ? "no status yet" : reason}`;
}

function describeCounts({ requests, failures, slow }: VersionCounts): string {
    return `${requests} (${failures} failed, ${slow} slow)`;
}

function toSeconds(ms: number): string {
    return (ms / msPerSecond).toFixed(0);
}
