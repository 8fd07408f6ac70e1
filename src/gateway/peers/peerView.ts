import type { ReportedRouter } from "../../decisions/shares/accountShares.js";
import type { RouterView } from "../../decisions/limits/coldLimit.js";
import type { RouterCondition } from "./peerMessage.js";
import type { PeerTraffic } from "./peerTraffic.js";

/** Size of a peer message and the interval between message rounds. */
export interface PeerRound {
    readonly messageBytes: number;
    readonly periodMs: number;
}

/** Source of the accounts' usage at the other routers. */
export interface AccountSource {
    /** Id of the aggregator for this router's data centre; undefined before the first report to one. */
    readonly aggregator: string | undefined;
    /** Number of routers that the newest totals cover; 0 without recent totals. */
    readonly summedRouters: number;
    /** Mean age of the reports in the totals; milliseconds. */
    readonly ageMs: number | undefined;
}

/** This router's replicated state of the other routers. */
export interface PeerView {
    readonly routers: RouterView;
    /** Tokens that accounts requested and were served at the other routers; a report may be totals over several routers. */
    readonly accountReports: readonly ReportedRouter[];
    readonly accountSource: AccountSource;
    /** Conditions of the other routers with a recent message, by id. */
    readonly conditions: ReadonlyMap<string, RouterCondition>;
    /** Number of other routers that are known to exist, or did within the last `periodMs`, and that sent no recent message. */
    countMissing(periodMs: number): number;
    /** Records that a router has told that it stops, so that it does not count as missing. */
    recordEnd(routerId: string): void;
    /** Size of the newest message, and the interval from it to the next one. */
    readonly round: PeerRound;
    /** Counts what this router sends to the others. */
    readonly traffic: Pick<PeerTraffic, "counts">;
    /** Reports to the peers that a target has begun to prefill a prompt part. */
    recordPrefill(targetHash: number, partId: string, tokens: number): void;
}
