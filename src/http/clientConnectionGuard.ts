import { performance } from "node:perf_hooks";
import type { Clock } from "../base/clock.js";
import { Emitter } from "../base/event.js";
import type { Logger } from "../base/log.js";
import { InputBudget } from "../decisions/limits/inputBudget.js";
import { SlidingCount } from "../decisions/structures/slidingCount.js";
import { ReadTurns } from "./readTurns.js";

/**
 * Why a client's connection was closed: the budget for unread input was exceeded, bytes without a request, a response that is not read,
 * or no place for a further connection.
 */
export type ClosureReason = "input-budget" | "no-request" | "unread-response" | "no-place";

/** Limits for clients' connections, of all servers of a process together. */
export interface ClientConnectionLimits {
    /** Size of the budget for input that clients have sent ahead, and for incomplete heads; bytes. */
    readonly maxHeldBytes: number;
    /** Time without progress after which a connection is closed whose client does not read its response; milliseconds. */
    readonly unreadTimeoutMs: number;
    /** Bytes without a complete head of a request after which a connection is closed; Node's own limit does not count empty lines. */
    readonly maxBytesWithoutRequest: number;
}

/** Figures for the metrics. */
export interface ClientConnectionStatistics {
    /** Estimated memory of input that has not been parsed. */
    readonly heldBytes: number;
    /** Connections with such input. */
    readonly heldConnections: number;
    /** Connections closed since the start, by reason. */
    readonly closed: Readonly<Record<ClosureReason, number>>;
}

/** A connection that holds input. */
export interface InputHolder {
    /** Drops the input, and closes the connection after the response to the open request. */
    refuseInput(): void;
}

const logWindowMs = 1_000;
/** Maximum log lines per second; the counts in each line show what was skipped. */
const maxLogLines = 5;
/** Event loop iterations in which a request is read, routed and refused. */
const iterationsPerRequest = 4;

/** Bounds what clients' connections take of the process's memory and of its event loop, over all servers. */
export class ClientConnectionGuard {
    /** Turns of connections that sent requests ahead, or whose input takes much time to parse. */
    public readonly turns: ReadTurns;
    private readonly budget: InputBudget<InputHolder>;
    private readonly closeEmitter = new Emitter<ClosureReason>();
    private readonly logLines = new SlidingCount(logWindowMs);
    private readonly closed: Record<ClosureReason, number> = {
        "input-budget": 0,
        "no-request": 0,
        "unread-response": 0,
        "no-place": 0,
    };

    /** Fires when a connection is closed because of a limit. */
    public readonly onDidClose = this.closeEmitter.onDidFire;

    public constructor(
        public readonly clock: Clock,
        private readonly logger: Logger,
        private readonly getLimits: () => ClientConnectionLimits,
    ) {
        this.turns = new ReadTurns(clock, iterationsPerRequest, () => performance.eventLoopUtilization().active);
        this.budget = new InputBudget(() => getLimits().maxHeldBytes);
    }

    public get statistics(): ClientConnectionStatistics {
        return { heldBytes: this.budget.bytes, heldConnections: this.budget.size, closed: { ...this.closed } };
    }

    /** The limits in force. */
    public get limits(): ClientConnectionLimits {
        return this.getLimits();
    }

    /** Sets the estimated memory of a connection's unread input, and closes connections while the budget is exceeded. */
    public setHeldBytes(holder: InputHolder, bytes: number): void {
        this.budget.setBytes(holder, bytes);
        for (;;) {
            const found = this.budget.findConnectionToClose();
            if (found === undefined) {
                return;
            }
            this.budget.setBytes(found, 0);
            this.recordClosure("input-budget");
            found.refuseInput();
        }
    }

    /** Counts and logs a connection that is closed because of a limit. */
    public recordClosure(reason: ClosureReason): void {
        this.closed[reason] += 1;
        this.closeEmitter.fire(reason);
        const nowMs = this.clock.nowMs();
        if (this.logLines.count(nowMs) < maxLogLines) {
            this.logLines.add(nowMs);
            const fields = { reason, closedConnections: this.closed[reason], heldBytes: this.budget.bytes };
            this.logger.write("warn", "client connection closed because of a limit", fields);
        }
    }
}
