import type { AcceptedDocument } from "../document/schema.js";
import type { FleetEvent, HybridTime } from "../events/fleetEvent.js";
import type { ClientShare } from "../fleet/clientShare.js";
import type { AgentReport, ServiceCounter } from "../fleet/entities.js";
import type { DaemonStatus, RosterEntry } from "./schemas.js";

/** What a router sends an agent on the exchange. */
export interface ExchangeRequest {
    readonly routerId: string;
    readonly incarnation: number;
    /** Hybrid clock reading at the send, so that the time line keeps causal order. */
    readonly time: HybridTime;
    /** Offset of the document the router has in force. */
    readonly documentOffset: number;
    /** Sequence of the newest report the router has taken; counters it covers need not be sent again. */
    readonly acknowledgedSequence: number | undefined;
    /** Service given by the other agents, as far as the router knows; changed entries only. */
    readonly claims: readonly ServiceCounter[];
    /** The router's document, when the agent's was older. */
    readonly document?: AcceptedDocument | undefined;
}

/** What the agent answers. */
export interface ExchangeReply {
    readonly time: HybridTime;
    readonly report: AgentReport;
    /** Routers that exchange with this agent, so that each can keep the agent within its allowance of traffic. */
    readonly routerCount: number;
    /** The agent's document, when the router's is older. */
    readonly document?: AcceptedDocument | undefined;
}

/** A page of a daemon's event ring. */
export interface EventPage {
    readonly events: readonly FleetEvent[];
    /** Sequence of the oldest event still kept; a reader that is behind it has a gap. */
    readonly firstSequence: number;
}

/** What every daemon answers on its control API. */
export interface ControlHost {
    getStatus(): DaemonStatus;
    listEvents(sinceSequence: number): EventPage;
    listShares(): readonly ClientShare[];
    getDocument(): AcceptedDocument | undefined;
    listRoster(): readonly RosterEntry[];
    /** Agents only. */
    readonly agent?: AgentControlHost;
}

/** What an agent answers besides. */
export interface AgentControlHost {
    handleExchange(request: ExchangeRequest): ExchangeReply;
    /** Whether the request was given back: it never started here and never will. */
    withdrawWork(requestId: string): boolean;
}
