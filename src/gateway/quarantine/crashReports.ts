import type { Disposable } from "../../base/lifecycle.js";
import type { SetTimer } from "../../base/timers.js";
import type { CrashEvidence } from "../../decisions/quarantine/crashLedger.js";
import { maxEntries, type CrashMessage } from "./crashMessage.js";

/** Sends a message to all routers that are known. */
export interface CrashTransport {
    sendToAll(message: CrashMessage): void;
}

/** When a report is sent; repeated, as datagrams are lost, and routers that are too slow for one moment read late. Milliseconds. */
const sendAtMs = [0, 100, 400, 1_500] as const;

/** Reports crashes to the other routers, each several times. */
export class CrashReports implements Disposable {
    private readonly timers = new Set<Disposable>();

    public constructor(
        private readonly transport: CrashTransport,
        private readonly setTimer: SetTimer,
    ) {}

    public sendEvidence(evidence: readonly CrashEvidence[]): void {
        for (let start = 0; start < evidence.length; start += maxEntries) {
            this.sendRepeatedly({ evidence: evidence.slice(start, start + maxEntries), cleared: [] });
        }
    }

    public sendCleared(digest: string): void {
        this.sendRepeatedly({ evidence: [], cleared: [digest] });
    }

    public dispose(): void {
        this.timers.forEach(timer => timer.dispose());
        this.timers.clear();
    }

    private sendRepeatedly(message: CrashMessage): void {
        for (const atMs of sendAtMs) {
            if (atMs === 0) {
                this.transport.sendToAll(message);
                continue;
            }
            const timer = this.setTimer(atMs, () => {
                this.timers.delete(timer);
                this.transport.sendToAll(message);
            });
            this.timers.add(timer);
        }
    }
}
