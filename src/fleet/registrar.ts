import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { v7 as createUuid } from "uuid";
import { CancellationTokenSource, type CancellationToken } from "../base/cancellation.js";
import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Random } from "../base/random.js";
import { PlatformError } from "../infrastructure/errors.js";
import type { LogService } from "../infrastructure/logService.js";
import type { Sleep } from "../base/sleep.js";
import { defaultLogRetentionMs } from "./documentWatcher.js";
import type { RosterEntry } from "./rosterEntry.js";
import {
    computeRosterTimes,
    formatRosterStream,
    type LeaveRecord,
    type RegisterRecord,
    type RosterMember,
} from "./rosterState.js";
import type { RosterWatcher } from "./rosterWatcher.js";

/** Dependencies and settings of a {@link Registrar}. */
export interface RegistrarOptions {
    readonly environment: string;
    readonly entry: RosterEntry;
    readonly log: LogService;
    readonly watcher: RosterWatcher;
    readonly clock: Clock;
    readonly random: Random;
    readonly sleep: Sleep;
    /** Minimum time for which the platform keeps log records; milliseconds. */
    readonly logRetentionMs?: number;
}

/** Renewals per member lifetime; a member stays registered if two of them are lost. */
const renewalsPerLifetime = 3;
/** Share of the renewal period over which daemons randomize their renewals. */
const renewalJitterShare = 0.2;
const minRetryMs = 200;
const maxRetryMs = 2_000;

/** Keeps this daemon registered in the roster while it runs, and removes it when it stops. */
export class Registrar implements Disposable {
    private readonly cancellation = new CancellationTokenSource();
    private readonly stream: string;
    private readonly renewAfterMs: number;
    private running: Promise<void> | undefined;
    private renewedAtMs: number | undefined;
    private failures = 0;

    public constructor(private readonly options: RegistrarOptions) {
        this.stream = formatRosterStream(options.environment);
        const { memberLifetimeMs } = computeRosterTimes(options.logRetentionMs ?? defaultLogRetentionMs);
        this.renewAfterMs = (memberLifetimeMs / renewalsPerLifetime) * (1 - renewalJitterShare * options.random.next());
    }

    /** Offset of this process's registration as read from the log; undefined while the process is not a member. */
    public get registration(): number | undefined {
        return this.findSelf()?.registration;
    }

    /**
     * Monotonic time up to which the log confirmed this process's membership; undefined while it is unconfirmed. Any
     * action that requires membership is valid only within a lease from this time: another daemon may have evicted this
     * one since, and its successor assumes that the lease has expired.
     */
    public get lastConfirmedAtMs(): number | undefined {
        return this.findSelf() === undefined ? undefined : this.options.watcher.lastConfirmedAtMs;
    }

    /** Whether a newer process has registered with this daemon's id. */
    public get isReplaced(): boolean {
        const { entry, watcher } = this.options;
        return (watcher.members.get(entry.daemonId)?.entry.incarnation ?? -Infinity) > entry.incarnation;
    }

    /** Whether the membership was confirmed within the last `leaseMs`. */
    public isConfirmedWithin(leaseMs: number): boolean {
        const confirmedAtMs = this.lastConfirmedAtMs;
        return confirmedAtMs !== undefined && this.options.clock.nowMs() - confirmedAtMs < leaseMs;
    }

    /** Registers in the background and renews the registration while the process runs. */
    public start(): void {
        this.running ??= this.run();
    }

    /** Removes this daemon from the roster; retries until it succeeds, and fails if the token is cancelled first. */
    public removeSelf(token: CancellationToken): ResultAsync<void, PlatformError> {
        const { daemonId, incarnation } = this.options.entry;
        const by = daemonId;
        const record: LeaveRecord = { type: "leave", id: createUuid(), daemonId, incarnation, reason: "stopped", by };
        return ResultAsync.fromSafePromise(this.stop()).andThen(() => this.appendLeave(record, token));
    }

    /** Evicts a daemon from the roster, unless it has registered again since `member` was read. */
    public removeMember(member: RosterMember, token: CancellationToken): ResultAsync<void, PlatformError> {
        const { daemonId, incarnation } = member.entry;
        const record: LeaveRecord = {
            type: "leave",
            id: createUuid(),
            daemonId,
            incarnation,
            reason: "evicted",
            by: this.options.entry.daemonId,
            registration: member.registration,
        };
        return this.options.log.append(this.stream, record, token).map(() => undefined);
    }

    public dispose(): void {
        this.cancellation.cancel();
    }

    private async stop(): Promise<void> {
        this.cancellation.cancel();
        await this.running;
    }

    private async run(): Promise<void> {
        const { token } = this.cancellation;
        while (!token.isCancelled) {
            if (this.isAppendDue()) {
                await this.appendRegister(token);
            } else {
                await this.waitForChange(token);
            }
        }
    }

    private isAppendDue(): boolean {
        const { watcher, clock } = this.options;
        if (watcher.lastConfirmedAtMs === undefined) {
            return false;
        }
        // A newer process registered with this daemon's id while this one was paused; the older one must not return.
        if (this.isReplaced) {
            return false;
        }
        const isMember = this.findSelf() !== undefined;
        return !isMember || this.renewedAtMs === undefined || clock.nowMs() - this.renewedAtMs > this.renewAfterMs;
    }

    /**
     * If the reply to the append is lost, the roster read from the log shows whether this process is a member. Until it
     * does, the record is appended again; a duplicate only renews the registration.
     */
    private async appendRegister(token: CancellationToken): Promise<void> {
        const { log, entry, watcher, clock } = this.options;
        const knownUpTo = watcher.state.nextOffset - 1;
        const record: RegisterRecord = {
            type: "register",
            id: createUuid(),
            entry,
            knownUpTo,
            registration: this.registration,
        };
        const sentAtMs = clock.nowMs();
        const appended = await log.append(this.stream, record, token);
        if (appended.isErr()) {
            this.failures++;
            await this.sleepBeforeRetry(token);
            return;
        }
        this.renewedAtMs = sentAtMs;
        await this.waitUntilRead(appended.value, token);
        if (this.findSelf() === undefined) {
            this.failures++;
            await this.sleepBeforeRetry(token);
            return;
        }
        this.failures = 0;
    }

    private async waitUntilRead(offset: number, token: CancellationToken): Promise<void> {
        while (!token.isCancelled && this.options.watcher.state.nextOffset <= offset) {
            await this.waitForChange(token);
        }
    }

    private appendLeave(record: LeaveRecord, token: CancellationToken): ResultAsync<void, PlatformError> {
        if (token.isCancelled) {
            return errAsync(new PlatformError("log", "leaving the roster was cancelled before the log confirmed it"));
        }
        return this.options.log
            .append(this.stream, record, token)
            .map(() => undefined)
            .orElse(() => {
                this.failures++;
                const delay = ResultAsync.fromSafePromise<void, PlatformError>(this.sleepBeforeRetry(token));
                // The record may have been appended although the reply was lost.
                return delay.andThen(() =>
                    this.findSelf() === undefined ? okAsync(undefined) : this.appendLeave(record, token),
                );
            });
    }

    private sleepBeforeRetry(token: CancellationToken): Promise<void> {
        const maxDelayMs = Math.min(maxRetryMs, minRetryMs * 2 ** Math.min(this.failures, 16));
        return this.options.sleep(minRetryMs + this.options.random.next() * (maxDelayMs - minRetryMs), token);
    }

    /** Resolves after the next read of the roster, within one poll while the log is available. */
    private waitForChange(token: CancellationToken): Promise<void> {
        return new Promise(resolve => {
            if (token.isCancelled) {
                resolve();
                return;
            }
            const finish = (): void => {
                read.dispose();
                cancelled.dispose();
                resolve();
            };
            const read = this.options.watcher.onDidRead(finish);
            const cancelled = token.onDidCancel(finish);
        });
    }

    private findSelf(): RosterMember | undefined {
        const { entry, watcher } = this.options;
        const member = watcher.members.get(entry.daemonId);
        return member?.entry.incarnation === entry.incarnation ? member : undefined;
    }
}
