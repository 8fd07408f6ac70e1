import { ok, safeTry } from "neverthrow";
import type { CliError } from "../cliErrors.js";
import type { Command, Report } from "../command.js";
import type { DaemonView } from "../daemonDirectory.js";
import { buildEnvironmentOption, getEnvironmentName } from "../options.js";
import { formatTable } from "../table.js";

const heading = [
    "DAEMON",
    "ROLE",
    "DATA CENTRE",
    "ADDRESS",
    "DOCUMENT",
    "PHASE",
    "WAITING",
    "RUNNING",
    "WINDOW",
    "UPTIME",
];

/** Shows which daemons run and which document each has in force. */
export const status: Command = {
    usage: "status",
    description: "Show which daemons run, their role and data centre, and the document offset that each has in force",
    options: [buildEnvironmentOption("production")],
    run: (invocation, context) =>
        safeTry<Report, CliError>(async function* () {
            const environment = yield* getEnvironmentName(invocation);
            const directory = yield* context.openDaemons(environment);
            const daemons = yield* await directory.listDaemons();
            return ok({
                json: { environment, daemons: daemons.map(describeDaemon) },
                lines: formatTable([heading, ...daemons.map(formatDaemon)]),
            });
        }),
};

function describeDaemon(view: DaemonView): object {
    const { daemonId, role, dataCentre, address } = view.entry;
    return view.reachable
        ? { reachable: true, ...view.status }
        : { reachable: false, daemonId, role, dataCentre, address, error: view.error };
}

function formatDaemon(view: DaemonView): readonly string[] {
    const { daemonId, role, dataCentre, address } = view.entry;
    const known = [daemonId, role, dataCentre, address];
    if (!view.reachable) {
        return [...known, "-", "unreachable", "-", "-", "-", "-"];
    }
    const { documentOffset, phase, waiting, running, window, cold, uptimeMs } = view.status;
    const windowText = window === undefined ? "-" : `${Math.floor(window)}${cold === true ? " cold" : ""}`;
    const uptime = `${Math.floor(uptimeMs / 1_000)}s`;
    return [...known, `${documentOffset}`, phase, `${waiting}`, `${running}`, windowText, uptime];
}
