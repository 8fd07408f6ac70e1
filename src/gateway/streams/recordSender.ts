import type { Clock } from "../../base/clock.js";
import type { Disposable } from "../../base/lifecycle.js";
import type { SetTimer } from "../../base/timers.js";
import { selectRecordHolders } from "../../decisions/versions/recordHolders.js";
import { StreamVersionTable, type StreamEntry } from "../../decisions/versions/streamVersionTable.js";
import type { PeerView } from "../peers/peerView.js";
import { recordHolders } from "./originResolver.js";
import { maxEntries, type StreamVersionMessage } from "./streamVersionMessage.js";

/** Sends messages to other routers; delivery is not guaranteed. */
export interface StreamVersionTransport {
    sendStreamVersions(routerId: string, message: StreamVersionMessage): void;
}

/** Dependencies of a {@link RecordSender}. */
export interface RecordSenderOptions {
    readonly ownId: string;
    readonly peers: Pick<PeerView, "conditions" | "countMissing">;
    readonly transport: StreamVersionTransport;
    readonly clock: Clock;
    readonly setTimer: SetTimer;
}

/** Interval between checks of whether records that too few routers hold can be sent; milliseconds. */
const resendCheckMs = 250;
/** Routers that sent a message within this time may come back while a stream can be resumed; milliseconds. */
const missingPeriodMs = 600_000;

/** Sends the records of streams to the routers that hold them. While other routers are missing, keeps those that too few can hold. */
export class RecordSender implements Disposable {
    private readonly undelivered = new StreamVersionTable();
    private timer: Disposable | undefined;

    public constructor(private readonly options: RecordSenderOptions) {}

    /** The other routers with a recent message; a router that has ended would hold no record. */
    public listOthers(): readonly string[] {
        return [...this.options.peers.conditions.keys()].filter(id => id !== this.options.ownId);
    }

    /** Sends each record to the routers that hold it, with several records in a message. */
    public send(entries: readonly StreamEntry[]): void {
        if (entries.length > 0 && this.hasTooFew()) {
            const nowMs = this.options.clock.nowMs();
            entries.forEach(entry => this.undelivered.record(entry, nowMs));
            this.timer ??= this.options.setTimer(resendCheckMs, () => this.sendUndelivered());
        }
        const others = this.listOthers();
        const byRouter = new Map<string, StreamEntry[]>();
        for (const entry of entries) {
            for (const routerId of selectRecordHolders(entry.key, others, recordHolders)) {
                const batch = byRouter.get(routerId) ?? [];
                batch.push(entry);
                byRouter.set(routerId, batch);
            }
        }
        for (const [routerId, batch] of byRouter) {
            for (let start = 0; start < batch.length; start += maxEntries) {
                const message = { kind: "records", entries: batch.slice(start, start + maxEntries) } as const;
                this.options.transport.sendStreamVersions(routerId, message);
            }
        }
    }

    public dispose(): void {
        this.timer?.dispose();
    }

    private hasTooFew(): boolean {
        const { peers } = this.options;
        return this.listOthers().length < recordHolders && peers.countMissing(missingPeriodMs) > 0;
    }

    private sendUndelivered(): void {
        const { clock, setTimer } = this.options;
        const nowMs = clock.nowMs();
        this.timer = undefined;
        if (!this.hasTooFew()) {
            this.send(this.undelivered.takeAll(nowMs));
        } else if (this.undelivered.listAll(nowMs).length > 0) {
            this.timer = setTimer(resendCheckMs, () => this.sendUndelivered());
        }
    }
}
