import type { EnvironmentDocument } from "../document/schema.js";
import type { Refusal, ServiceCounter, WorkRequest } from "./entities.js";

/** How a run at the target ended. */
export type RunOutcome =
    | "completed"
    /** The connection or the response stream was interrupted. */
    | "failed"
    /** The target returned an error response. */
    | "target-error"
    | "cancelled"
    | "refused-by-target";

/** Messages from an agent's shell (its I/O layer) to its core. */
export type AgentMessage =
    /** A router sent a request; its deadline is already converted to this process's monotonic clock. */
    | { readonly type: "workOffered"; readonly request: WorkRequest; readonly routerId: string }
    /** A router withdraws a request. The core replies with workWithdrawn or withdrawRefused. */
    | {
          readonly type: "withdrawRequested";
          readonly requestId: string;
          /** Incarnation that received the request, if known; no other can confirm that the request never started. */
          readonly incarnation?: number;
      }
    /** The router's connection closed, or the caller disconnected. */
    | { readonly type: "workCancelled"; readonly requestId: string }
    /** The target sent the first token or the response head. */
    | { readonly type: "firstOutput"; readonly requestId: string }
    /** The target generated more output; `tokens` counts those since the previous message of this type. */
    | { readonly type: "progressed"; readonly requestId: string; readonly tokens: number }
    | {
          readonly type: "runEnded";
          readonly requestId: string;
          readonly outcome: RunOutcome;
          /** Token counts as reported by the target, otherwise as observed in the response. */
          readonly promptTokens: number;
          readonly generatedTokens: number;
          /** Pause requested by a target that refused the request; milliseconds. */
          readonly pauseMs?: number;
      }
    /** State reported by the target itself; it may be out of date. */
    | { readonly type: "targetReported"; readonly cold: boolean; readonly running: number; readonly waiting: number }
    /** The target was unreachable, or it lost its state. */
    | { readonly type: "targetLost" }
    /** Service charged by other agents, received from a router in the exchange or with a request. */
    | {
          readonly type: "claimsReceived";
          readonly routerId: string;
          readonly claims: readonly ServiceCounter[];
          /** Defaults to the exchange. */
          readonly source?: "exchange" | "work";
      }
    | { readonly type: "documentAccepted"; readonly offset: number; readonly document: EnvironmentDocument }
    /** The process was asked to stop or its VM is leaving: started requests finish, no further one starts. */
    | { readonly type: "leaving" };

/** Actions that an agent's core requests from its shell. */
export type AgentEffect =
    /** Send the request to the target now. */
    | { readonly type: "startWork"; readonly requestId: string }
    /** Refuse the request; it has not started on this agent and never will. */
    | { readonly type: "refuseWork"; readonly requestId: string; readonly refusal: Refusal }
    /** Return a queued request to its router, on withdrawal or because the agent is leaving; it never starts here. */
    | { readonly type: "workWithdrawn"; readonly requestId: string }
    /** The withdrawal came too late: the request has already started or ended on this agent. */
    | { readonly type: "withdrawRefused"; readonly requestId: string }
    /** Stop the run at the target. */
    | { readonly type: "cancelRun"; readonly requestId: string };
