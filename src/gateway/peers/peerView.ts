import type { ReportedRouter } from "../../decisions/shares/accountShares.js";
import type { RouterView } from "../../decisions/limits/coldLimit.js";
import type { RouterCondition } from "./peerMessage.js";

/** What telling the other routers takes. */
export interface PeerRound {
    readonly messageBytes: number;
    readonly periodMs: number;
}

/** How accounts' use at the other routers is known. */
export interface AccountSource {
    /** The router that sums up for this one's data centre; undefined while none is asked. */
    readonly aggregator: string | undefined;
    /** Routers that the newest sums are over; 0 without fresh sums. */
    readonly summedRouters: number;
    /** Mean age of the reports in them; milliseconds. */
    readonly ageMs: number | undefined;
}

/** What this router knows of the other routers. */
export interface PeerView {
    readonly routers: RouterView;
    /** What accounts asked and got at each of the other routers. */
    readonly accountReports: readonly ReportedRouter[];
    readonly accountSource: AccountSource;
    /** Conditions of the other routers with a recent message, by id. */
    readonly conditions: ReadonlyMap<string, RouterCondition>;
    /** Bytes of the newest message, and the time from it to the next one. */
    readonly round: PeerRound;
    /** Reports to the peers that a target has read a part of a prompt. */
    recordPrefill(targetHash: number, partId: string, tokens: number): void;
}
