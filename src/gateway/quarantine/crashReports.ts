import type { Disposable } from "../../base/lifecycle.js";
import type { SetTimer } from "../../base/timers.js";
import type { CrashEvidence } from "../../decisions/quarantine/crashLedger.js";
import { maxEntries, type CrashMessage } from "./crashMessage.js";

/** Sends a message to all known routers. */
export interface CrashTransport {
    sendToAll(message: CrashMessage): void;
}

/**
 * Delays at which a report is sent; milliseconds. It is repeated because datagrams are lost, and a router that is briefly too slow reads
 * them late.
 */
const sendDelaysMs = [0, 100, 400, 1_500] as const;

/** Sends reports of crashes to the other routers, each several times. */
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
        for (const delayMs of sendDelaysMs) {
            if (delayMs === 0) {
                this.transport.sendToAll(message);
                continue;
            }
            const timer = this.setTimer(delayMs, () => {
                this.timers.delete(timer);
                this.transport.sendToAll(message);
            });
            this.timers.add(timer);
        }
    }
}
