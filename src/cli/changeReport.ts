import { err } from "neverthrow";
import { describePatch, formatDifference } from "../document/diff.js";
import { ExitCode, type CliError } from "./cliErrors.js";
import type { CliContext, Invocation, Report } from "./command.js";
import type { InForceReport } from "./daemonDirectory.js";
import type { AppliedChange } from "./documentClient.js";
import { hasFlag } from "./options.js";
import type { EnvironmentName } from "./settings.js";

/**
 * The report of a change; with --wait, first waits until the daemons have it in force. What goes wrong while waiting is
 * part of the report and no error: the change is in force, and an operator told otherwise would make it again.
 */
export async function reportChange(
    environment: EnvironmentName,
    change: AppliedChange | undefined,
    invocation: Invocation,
    context: CliContext,
): Promise<Report> {
    if (change === undefined) {
        return { json: { environment, applied: false }, lines: [`${environment}: no change needed`] };
    }
    const differences = describePatch(change.before, change.patch);
    const report: Report = {
        json: { environment, applied: true, offset: change.offset, id: change.id, differences },
        lines: [`${environment}: applied at offset ${change.offset}`, ...differences.map(formatDifference)],
    };
    if (!hasFlag(invocation, "wait")) {
        return report;
    }
    const daemons = context.openDaemons(environment);
    const waited = daemons.isErr() ? err(daemons.error) : await daemons.value.waitInForce(change.offset);
    return waited.match(
        inForce => addInForce(report, inForce),
        error => addWaitFailure(report, error),
    );
}

function addWaitFailure(report: Report, error: CliError): Report {
    return {
        json: { ...(report.json as object), inForce: { error: error.message } },
        lines: [...report.lines, `applied, but the daemons could not be asked: ${error.message}`],
        exitCode: error.exitCode,
    };
}

/** The report with what the wait has shown. */
function addInForce(report: Report, waited: InForceReport): Report {
    const { behind, unreachable, waitedMs } = waited;
    const reached = waited.daemons.length - behind.length - unreachable.length;
    return {
        json: { ...(report.json as object), inForce: { daemons: reached, behind, unreachable, waitedMs } },
        lines: [
            ...report.lines,
            `in force on ${reached} daemons`,
            ...behind.map(daemonId => `not yet in force: ${daemonId}`),
            ...unreachable.map(daemonId => `unreachable: ${daemonId}`),
        ],
        exitCode: behind.length === 0 ? ExitCode.Ok : ExitCode.Failed,
    };
}
