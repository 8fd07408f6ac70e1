import type { EnvironmentDocument } from "../document/schema.js";
import type { Refusal, ServiceCounter, WorkRequest } from "./entities.js";

/** How a run at the target ended. */
export type RunOutcome =
    | "completed"
    /** The connection or the stream broke. */
    | "failed"
    /** The target answered with an error. */
    | "target-error"
    | "cancelled"
    | "refused-by-target";

/** What the shell of an agent tells its core. */
export type AgentMessage =
    /** A router sent a request; deadline already turned into this process's clock. */
    | { readonly type: "workOffered"; readonly request: WorkRequest; readonly routerId: string }
    /** A router asks for a request back. Answered by withdrawn or withdrawRefused. */
    | {
          readonly type: "withdrawRequested";
          readonly requestId: string;
          /** Incarnation the request was sent to, if the router knows; another one cannot say that it never started. */
          readonly incarnation?: number;
      }
    /** The router's connection closed, or the caller left. */
    | { readonly type: "workCancelled"; readonly requestId: string }
    /** The target sent the first token or response head. */
    | { readonly type: "firstOutput"; readonly requestId: string }
    /** The target generated more; `tokens` since the last progress. */
    | { readonly type: "progressed"; readonly requestId: string; readonly tokens: number }
    | {
          readonly type: "runEnded";
          readonly requestId: string;
          readonly outcome: RunOutcome;
          /** Final counts if the target told them, else what was seen. */
          readonly promptTokens: number;
          readonly generatedTokens: number;
          /** How long a target that refused wants no requests; milliseconds. */
          readonly pauseMs?: number;
      }
    /** The target's own report, which lags. */
    | { readonly type: "targetReported"; readonly cold: boolean; readonly running: number; readonly waiting: number }
    /** The target was unreachable or lost its state. */
    | { readonly type: "targetLost" }
    /** A router's exchange, or one request of its, brought what other agents have charged. */
    | {
          readonly type: "claimsReceived";
          readonly routerId: string;
          readonly claims: readonly ServiceCounter[];
          /** The exchange when left out. */
          readonly source?: "exchange" | "work";
      }
    | { readonly type: "documentAccepted"; readonly offset: number; readonly document: EnvironmentDocument }
    /** This process was told to stop, or its VM is leaving: start nothing new but what is already started. */
    | { readonly type: "leaving" };

/** What an agent's core asks of its shell. */
export type AgentEffect =
    /** Give the request to the target now. */
    | { readonly type: "startWork"; readonly requestId: string }
    /** Turn the request away; it was never started here and never will be. */
    | { readonly type: "refuseWork"; readonly requestId: string; readonly refusal: Refusal }
    /** Hand back a queued request (asked for, or because the agent leaves); never started, never will be. */
    | { readonly type: "workWithdrawn"; readonly requestId: string }
    /** A withdraw came too late: the request has started or ended here. */
    | { readonly type: "withdrawRefused"; readonly requestId: string }
    /** Stop the run at the target. */
    | { readonly type: "cancelRun"; readonly requestId: string };
