import type { EnvironmentDocument } from "../document/schema.js";
import type { AgentReport, Execution, Refusal, ServiceCounter, WorkRequest } from "./entities.js";

/**
 * What the shell of a router tells its core. The shell answers each sendWork in the end with workRefused, workWithdrawn,
 * workFailed or workEnded; the `attempt` in an answer is that of the sendWork, so that an answer that comes late or twice
 * is not taken for one to a later attempt.
 */
export type RouterMessage =
    /**
     * A caller's request, authenticated and parsed. A request that must run at most once names the home of its key: it goes
     * to that agent only; undefined for such a request when no home is known.
     */
    | { readonly type: "submitted"; readonly request: WorkRequest; readonly homeAgentId?: string | undefined }
    /** The caller left. */
    | { readonly type: "cancelled"; readonly requestId: string }
    /** An agent said how it stands, on the exchange or on an answer. */
    | { readonly type: "agentReported"; readonly report: AgentReport }
    /** An agent did not answer the exchange for longer than its lease, or refuses connections. */
    | { readonly type: "agentLost"; readonly agentId: string }
    /** The agent has begun the request at its target. */
    | { readonly type: "workStarted"; readonly requestId: string; readonly agentId: string; readonly attempt?: number }
    /** The agent says the request never started and never will there. */
    | {
          readonly type: "workWithdrawn";
          readonly requestId: string;
          readonly agentId: string;
          readonly attempt?: number;
      }
    /** The key's home handed the key over to another home. */
    | {
          readonly type: "workDelegated";
          readonly requestId: string;
          readonly agentId: string;
          readonly attempt?: number;
          readonly homeAgentId: string;
      }
    /** The agent turned the request away. */
    | {
          readonly type: "workRefused";
          readonly requestId: string;
          readonly agentId: string;
          readonly attempt?: number;
          readonly refusal: Refusal;
      }
    /** The way to the agent broke, or the target failed, before an answer began. */
    | {
          readonly type: "workFailed";
          readonly requestId: string;
          readonly agentId: string;
          readonly attempt?: number;
          readonly execution: Execution;
          readonly detail: string;
      }
    /** The answer is complete (or its failure was already passed to the caller). */
    | {
          readonly type: "workEnded";
          readonly requestId: string;
          readonly agentId: string;
          readonly attempt?: number;
          readonly cost: number;
      }
    | { readonly type: "documentAccepted"; readonly offset: number; readonly document: EnvironmentDocument }
    /** Graceful shutdown: admit nothing more, finish what is there. */
    | { readonly type: "stopping" };

/** What a router's core asks of its shell. */
export type RouterEffect =
    /** Send the request with its body to the agent; one attempt. */
    | { readonly type: "sendWork"; readonly requestId: string; readonly agentId: string; readonly attempt: number }
    /** Ask the agent to give the request back; answered by workWithdrawn or workStarted. */
    | { readonly type: "withdrawWork"; readonly requestId: string; readonly agentId: string }
    /** Tell the agent that the caller left. */
    | { readonly type: "cancelWork"; readonly requestId: string; readonly agentId: string }
    /** Give the caller its final answer now. */
    | { readonly type: "refuse"; readonly requestId: string; readonly refusal: Refusal };

/** Service that other agents have given, as a router knows it: a lower bound; merged by maximum. */
export type ServiceClaims = readonly ServiceCounter[];
