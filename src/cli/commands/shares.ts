import { ok, safeTry } from "neverthrow";
import type { CliError } from "../cliErrors.js";
import type { Command, Report } from "../command.js";
import { buildEnvironmentOption, getEnvironmentName } from "../options.js";
import { formatTable } from "../table.js";
import { loadShares, type DaemonShares } from "./fleetEvents.js";

/** One account at one service over the whole fleet. */
interface FleetShare {
    readonly clientAccount: string;
    readonly service: string;
    readonly weight: number;
    /** Service given over weight; the most that any daemon knows of. */
    readonly normalizedService: number;
    /** Requests in routers, agents' queues not counted a second time. */
    readonly waiting: number;
    readonly running: number;
    /** How far it is behind the backlogged account that has had the most; undefined without a backlog. */
    readonly behind: number | undefined;
}

/** Shows each account's service, weight, backlog and gap as they are now. */
export const shares: Command = {
    usage: "shares",
    description: "Show each account's service over weight, backlog and gap at each service now",
    options: [buildEnvironmentOption("production")],
    run: (invocation, context) =>
        safeTry<Report, CliError>(async function* () {
            const environment = yield* getEnvironmentName(invocation);
            const directory = yield* context.openDaemons(environment);
            const { daemons, unreachable } = yield* await loadShares(directory, context.token);
            const notes = unreachable.map(name => `${name} does not answer; its part is missing`);
            const rows = addGaps(mergeShares(daemons));
            return ok({
                json: { environment, shares: rows, unreachable },
                lines: formatTable([heading, ...rows.map(formatShare)]),
                notes,
            });
        }),
};

const heading = ["ACCOUNT", "SERVICE", "WEIGHT", "SERVICE/WEIGHT", "WAITING", "RUNNING", "BEHIND"];

/** A router holds a request until it ends, so what waits is the routers' to tell, and what runs the agents'. */
function mergeShares(daemons: readonly DaemonShares[]): readonly FleetShare[] {
    const merged = new Map<string, FleetShare>();
    for (const daemon of daemons) {
        for (const share of daemon.shares) {
            const key = `${share.service}\n${share.clientAccount}`;
            const before = merged.get(key);
            merged.set(key, {
                clientAccount: share.clientAccount,
                service: share.service,
                weight: share.weight,
                normalizedService: Math.max(before?.normalizedService ?? 0, share.normalizedService),
                waiting: (before?.waiting ?? 0) + (daemon.role === "router" ? share.waiting : 0),
                running: (before?.running ?? 0) + (daemon.role === "agent" ? share.running : 0),
                behind: undefined,
            });
        }
    }
    return [...merged.values()].sort((a, b) =>
        `${a.service}\n${a.clientAccount}` < `${b.service}\n${b.clientAccount}` ? -1 : 1,
    );
}

function addGaps(rows: readonly FleetShare[]): readonly FleetShare[] {
    return rows.map(row => {
        const backlogged = rows.filter(other => other.service === row.service && other.waiting > 0);
        const most = Math.max(...backlogged.map(other => other.normalizedService));
        return row.waiting > 0 ? { ...row, behind: most - row.normalizedService } : row;
    });
}

function formatShare(share: FleetShare): readonly string[] {
    const { clientAccount, service, weight, normalizedService, waiting, running, behind } = share;
    const gap = behind === undefined ? "-" : `${Math.round(behind)}`;
    return [clientAccount, service, `${weight}`, `${Math.round(normalizedService)}`, `${waiting}`, `${running}`, gap];
}
