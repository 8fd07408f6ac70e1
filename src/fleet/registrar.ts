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

/** What a {@link Registrar} needs. */
export interface RegistrarOptions {
    readonly environment: string;
    readonly entry: RosterEntry;
    readonly log: LogService;
    readonly watcher: RosterWatcher;
    readonly clock: Clock;
    readonly random: Random;
    readonly sleep: Sleep;
    /** How long the platform keeps records at least; milliseconds. */
    readonly logRetentionMs?: number;
}

/** Renewals in one member's lifetime; two may be lost. */
const renewalsPerLifetime = 3;
/** Renewals are spread over this share of their period. */
const renewalJitterShare = 0.2;
const minRetryMs = 200;
const maxRetryMs = 2_000;

/** Keeps this daemon in the roster while it runs, and takes it out when it stops. */
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

    /** Offset of this process's registration, as the log's reader has seen it; undefined while it is not a member. */
    public get registration(): number | undefined {
        return this.findSelf()?.registration;
    }

    /**
     * Monotonic time up to which the log has confirmed that this process is a member; undefined while it is not known
     * to be. What rests on the roster may be done only within a lease from here: another daemon may have evicted this
     * one in the meantime, and its successor counts on the lease having lapsed.
     */
    public get lastConfirmedAtMs(): number | undefined {
        return this.findSelf() === undefined ? undefined : this.options.watcher.lastConfirmedAtMs;
    }

    /** Whether a newer process has registered under this daemon's name. */
    public get isReplaced(): boolean {
        const { entry, watcher } = this.options;
        return (watcher.members.get(entry.daemonId)?.entry.incarnation ?? -Infinity) > entry.incarnation;
    }

    /** Whether the membership was confirmed within the last `leaseMs`. */
    public isConfirmedWithin(leaseMs: number): boolean {
        const confirmedAtMs = this.lastConfirmedAtMs;
        return confirmedAtMs !== undefined && this.options.clock.nowMs() - confirmedAtMs < leaseMs;
    }

    /** Registers in the background and renews for as long as the process runs. */
    public start(): void {
        this.running ??= this.run();
    }

    /** Takes this daemon out of the roster; resolves when the log shows it. Errors: unavailable until the token ended. */
    public removeSelf(token: CancellationToken): ResultAsync<void, PlatformError> {
        const { daemonId, incarnation } = this.options.entry;
        const by = daemonId;
        const record: LeaveRecord = { type: "leave", id: createUuid(), daemonId, incarnation, reason: "stopped", by };
        return ResultAsync.fromSafePromise(this.stop()).andThen(() => this.appendLeave(record, token));
    }

    /** Takes a daemon that is gone out of the roster. One that registered anew since `member` was read stays. */
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
        // A newer process has this daemon's name: this one was paused and replaced, and must stay out.
        if (this.isReplaced) {
            return false;
        }
        const isMember = this.findSelf() !== undefined;
        return !isMember || this.renewedAtMs === undefined || clock.nowMs() - this.renewedAtMs > this.renewAfterMs;
    }

    /**
     * A lost answer needs no search: the log's reader shows whether this process is a member. Until it does, the record
     * is appended again, which renews at worst.
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
            return errAsync(new PlatformError("log", "gave up to leave the roster"));
        }
        return this.options.log
            .append(this.stream, record, token)
            .map(() => undefined)
            .orElse(() => {
                this.failures++;
                const slept = ResultAsync.fromSafePromise<void, PlatformError>(this.sleepBeforeRetry(token));
                // The answer may be lost though the record is in the log.
                return slept.andThen(() =>
                    this.findSelf() === undefined ? okAsync(undefined) : this.appendLeave(record, token),
                );
            });
    }

    private sleepBeforeRetry(token: CancellationToken): Promise<void> {
        const cap = Math.min(maxRetryMs, minRetryMs * 2 ** Math.min(this.failures, 16));
        return this.options.sleep(minRetryMs + this.options.random.next() * (cap - minRetryMs), token);
    }

    /** Until the roster was read again: at most one poll while the log answers. */
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
