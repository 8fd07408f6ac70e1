import { err, ok, type Result } from "neverthrow";
import type { CancellationToken } from "../base/cancellation.js";
import type { Clock } from "../base/clock.js";
import { createControlClient, type ControlClient } from "../control/client.js";
import type { DaemonStatus, RosterEntry } from "../control/schemas.js";
import { defaultLogRetentionMs } from "../fleet/documentWatcher.js";
import { computeRosterTimes, formatRosterStream, RosterState } from "../fleet/rosterState.js";
import type { LogService } from "../infrastructure/logService.js";
import type { Sleep } from "../base/sleep.js";
import { UnavailableError } from "./cliErrors.js";

/** A daemon of the roster and what it says of itself. */
export type DaemonView =
    | { readonly reachable: true; readonly entry: RosterEntry; readonly status: DaemonStatus }
    | { readonly reachable: false; readonly entry: RosterEntry; readonly error: string };

/** What a {@link DaemonDirectory} needs. */
export interface DaemonDirectoryOptions {
    readonly environment: string;
    readonly log: LogService;
    readonly secret: string;
    /** Daemons to ask for the roster while the log is down. */
    readonly fallbackAddresses: readonly string[];
    readonly clock: Clock;
    readonly sleep: Sleep;
    readonly token: CancellationToken;
}

/** Outcome of {@link DaemonDirectory.waitInForce}. */
export interface InForceReport {
    readonly daemons: readonly DaemonView[];
    /** Reachable daemons that do not have the offset in force. */
    readonly behind: readonly string[];
    readonly unreachable: readonly string[];
    readonly waitedMs: number;
}

const inForceTimeoutMs = 30_000;
const inForcePollMs = 100;

/** The daemons of one environment, found through the roster on the log, or through a daemon while the log is down. */
export class DaemonDirectory {
    public constructor(private readonly options: DaemonDirectoryOptions) {}

    /** Registered daemons, in order of their ids. Errors: neither log nor daemon answers. */
    public async listEntries(): Promise<Result<readonly RosterEntry[], UnavailableError>> {
        const fromLog = await this.readRoster();
        if (fromLog.isOk()) {
            return ok(sortEntries(fromLog.value));
        }
        for (const address of this.options.fallbackAddresses) {
            const roster = await this.runCall(address, client => client.fetchRoster(this.options.token));
            if (roster.isOk()) {
                return ok(sortEntries(roster.value));
            }
        }
        return err(fromLog.error);
    }

    /** Every registered daemon with its status. Errors: no roster to be had. */
    public async listDaemons(): Promise<Result<readonly DaemonView[], UnavailableError>> {
        const entries = await this.listEntries();
        return entries.isErr() ? err(entries.error) : ok(await this.fetchAll(entries.value));
    }

    /** Waits until every reachable daemon has the offset in force, or the time is up. Errors: no roster to be had. */
    public async waitInForce(offset: number): Promise<Result<InForceReport, UnavailableError>> {
        const { clock, sleep, token } = this.options;
        const startedAtMs = clock.nowMs();
        const entries = await this.listEntries();
        if (entries.isErr()) {
            return err(entries.error);
        }
        for (;;) {
            const daemons = await this.fetchAll(entries.value);
            const behind = daemons.filter(daemon => daemon.reachable && daemon.status.documentOffset < offset);
            const waitedMs = clock.nowMs() - startedAtMs;
            if (behind.length === 0 || token.isCancelled || waitedMs > inForceTimeoutMs) {
                const unreachable = daemons.filter(daemon => !daemon.reachable);
                return ok({ daemons, behind: listIds(behind), unreachable: listIds(unreachable), waitedMs });
            }
            await sleep(inForcePollMs, token);
        }
    }

    /** Opens a client to one daemon; the caller disposes it. */
    public connect(address: string): ControlClient {
        return createControlClient({ address, secret: this.options.secret });
    }

    private async fetchAll(entries: readonly RosterEntry[]): Promise<readonly DaemonView[]> {
        return Promise.all(entries.map(entry => this.fetchOne(entry)));
    }

    private async fetchOne(entry: RosterEntry): Promise<DaemonView> {
        const status = await this.runCall(entry.address, client => client.fetchStatus(this.options.token));
        return status.isOk()
            ? { reachable: true, entry, status: status.value }
            : { reachable: false, entry, error: status.error.message };
    }

    private async runCall<T>(address: string, send: (client: ControlClient) => PromiseLike<T>): Promise<T> {
        const client = this.connect(address);
        try {
            return await send(client);
        } finally {
            client.dispose();
        }
    }

    private async readRoster(): Promise<Result<readonly RosterEntry[], UnavailableError>> {
        const { log, environment, token } = this.options;
        const state = new RosterState(computeRosterTimes(defaultLogRetentionMs));
        for (;;) {
            const page = await log.read(formatRosterStream(environment), state.nextOffset, 0, token);
            if (page.isErr()) {
                return err(new UnavailableError(`the platform's log does not answer: ${page.error.message}`));
            }
            state.applyPage(page.value);
            if (state.nextOffset >= page.value.endOffset) {
                return ok([...state.members.values()].map(member => member.entry));
            }
        }
    }
}

function sortEntries(entries: readonly RosterEntry[]): readonly RosterEntry[] {
    return [...entries].sort((a, b) => (a.daemonId < b.daemonId ? -1 : 1));
}

function listIds(daemons: readonly DaemonView[]): readonly string[] {
    return daemons.map(daemon => daemon.entry.daemonId);
}
