import type { Disposable } from "../../base/lifecycle.js";
import type { SetTimer } from "../../base/timers.js";
import type { CrashEvidence } from "../../decisions/quarantine/crashLedger.js";
import { maxEntries, type CrashMessage } from "./crashMessage.js";
import { RepeatedBroadcast, sendDelaysMs } from "./repeatedBroadcast.js";

/**
 * Evidence is sent once more, as nothing else tells a router that was cut off or suspended for seconds of the crash. Below the time for which a
 * cleared request's earlier evidence is ignored.
 */
const evidenceDelaysMs = [...sendDelaysMs, 4_000];

/** Sends a message to all known routers. */
export interface CrashTransport {
    sendToAll(message: CrashMessage): void;
}

/** Sends reports of crashes to the other routers. */
export class CrashReports implements Disposable {
    private readonly broadcast: RepeatedBroadcast<CrashMessage>;

    public constructor(transport: CrashTransport, setTimer: SetTimer) {
        this.broadcast = new RepeatedBroadcast(message => transport.sendToAll(message), setTimer);
    }

    public sendEvidence(evidence: readonly CrashEvidence[]): void {
        for (let start = 0; start < evidence.length; start += maxEntries) {
            const entries = evidence.slice(start, start + maxEntries);
            this.broadcast.send({ evidence: entries, cleared: [] }, evidenceDelaysMs);
        }
    }

    public sendCleared(digest: string): void {
        this.broadcast.send({ evidence: [], cleared: [digest] });
    }

    public dispose(): void {
        this.broadcast.dispose();
    }
}
