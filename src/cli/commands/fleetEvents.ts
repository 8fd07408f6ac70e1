import { err, ok, type Result } from "neverthrow";
import type { CancellationToken } from "../../base/cancellation.js";
import type { FleetEvent } from "../../events/fleetEvent.js";
import { mergeTimeline, type Timeline } from "../../events/mergeTimeline.js";
import type { ControlClient } from "../../control/client.js";
import type { RosterEntry } from "../../control/schemas.js";
import type { ClientShare } from "../../fleet/clientShare.js";
import { UnavailableError } from "../cliErrors.js";
import type { DaemonDirectory } from "../daemonDirectory.js";

/** What every daemon of the roster that answers has recorded. */
export interface FleetTimeline {
    readonly timeline: Timeline;
    /** Daemons that did not answer; their events are missing. */
    readonly unreachable: readonly string[];
}

/** What a daemon says of the accounts' shares. */
export interface DaemonShares {
    readonly daemonId: string;
    readonly role: RosterEntry["role"];
    readonly shares: readonly ClientShare[];
}

/** Asks all daemons for their events and merges them. Errors: no roster to be had, or nobody answers. */
export async function loadTimeline(
    directory: DaemonDirectory,
    token: CancellationToken,
): Promise<Result<FleetTimeline, UnavailableError>> {
    const pages = await fetchFromAll(directory, entry => fetchEvents(directory.connect(entry.address), token));
    return pages.map(({ answers, unreachable }) => ({ timeline: mergeTimeline(answers), unreachable }));
}

/** Asks all daemons for the accounts' shares. Errors: no roster to be had, or nobody answers. */
export async function loadShares(
    directory: DaemonDirectory,
    token: CancellationToken,
): Promise<
    Result<{ readonly daemons: readonly DaemonShares[]; readonly unreachable: readonly string[] }, UnavailableError>
> {
    const answers = await fetchFromAll(directory, async (entry): Promise<DaemonShares | undefined> => {
        const client = directory.connect(entry.address);
        const shares = await client.fetchShares(token);
        client.dispose();
        const { daemonId, role } = entry;
        return shares.map(list => ({ daemonId, role, shares: list })).unwrapOr(undefined);
    });
    return answers.map(({ answers: daemons, unreachable }) => ({ daemons, unreachable }));
}

/** All that the daemon has kept, page by page; undefined when it does not answer. */
async function fetchEvents(
    client: ControlClient,
    token: CancellationToken,
): Promise<readonly FleetEvent[] | undefined> {
    const events: FleetEvent[] = [];
    try {
        for (;;) {
            const since = events.at(-1)?.sequence ?? 0;
            const page = await client.fetchEvents(since, token);
            if (page.isErr()) {
                return events.length === 0 ? undefined : events;
            }
            const fresh = page.value.events.filter(event => event.sequence > since);
            if (fresh.length === 0) {
                return events;
            }
            events.push(...fresh);
        }
    } finally {
        client.dispose();
    }
}

async function fetchFromAll<T>(
    directory: DaemonDirectory,
    fetchOne: (entry: RosterEntry) => Promise<T | undefined>,
): Promise<Result<{ readonly answers: readonly T[]; readonly unreachable: readonly string[] }, UnavailableError>> {
    const entries = await directory.listEntries();
    if (entries.isErr()) {
        return err(entries.error);
    }
    const results = await Promise.all(entries.value.map(entry => fetchOne(entry)));
    const answers = results.filter(answer => answer !== undefined);
    const unreachable = entries.value
        .filter((...[, index]) => results[index] === undefined)
        .map(entry => entry.daemonId);
    return answers.length === 0 ? err(new UnavailableError("no daemon answers")) : ok({ answers, unreachable });
}
