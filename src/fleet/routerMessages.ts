import type { EnvironmentDocument } from "../document/schema.js";
import type { AgentReport, Execution, Refusal, ServiceCounter, WorkRequest } from "./entities.js";

/**
 * Messages from a router's shell (its I/O layer) to its core. The shell eventually reports one of workRefused,
 * workWithdrawn, workFailed or workEnded for each sendWork, with the `attempt` of that sendWork. A delayed or duplicate
 * message is therefore not attributed to a later attempt.
 */
export type RouterMessage =
    /**
     * A caller's request, authenticated and parsed. A request that must run at most once is sent only to the owner of
     * its key, `homeAgentId`; the value is undefined for such a request if its key owner is not known.
     */
    | { readonly type: "submitted"; readonly request: WorkRequest; readonly homeAgentId?: string | undefined }
    /** The caller disconnected. */
    | { readonly type: "cancelled"; readonly requestId: string }
    /** An agent reported its state in the exchange or with a response. */
    | { readonly type: "agentReported"; readonly report: AgentReport }
    /** An agent did not reply in the exchange for longer than its lease, or refuses connections. */
    | { readonly type: "agentLost"; readonly agentId: string }
    /** The agent has started the request at its target. */
    | { readonly type: "workStarted"; readonly requestId: string; readonly agentId: string; readonly attempt?: number }
    /** The agent reports that it has not started the request and never will. */
    | {
          readonly type: "workWithdrawn";
          readonly requestId: string;
          readonly agentId: string;
          readonly attempt?: number;
      }
    /** The key's owner delegated the key to another agent, `homeAgentId`. */
    | {
          readonly type: "workDelegated";
          readonly requestId: string;
          readonly agentId: string;
          readonly attempt?: number;
          readonly homeAgentId: string;
      }
    /** The agent refused the request. */
    | {
          readonly type: "workRefused";
          readonly requestId: string;
          readonly agentId: string;
          readonly attempt?: number;
          readonly refusal: Refusal;
      }
    /** The connection to the agent was lost, or the target failed, before a response began. */
    | {
          readonly type: "workFailed";
          readonly requestId: string;
          readonly agentId: string;
          readonly attempt?: number;
          readonly execution: Execution;
          readonly detail: string;
      }
    /** The response is complete, or its failure has already been forwarded to the caller. */
    | {
          readonly type: "workEnded";
          readonly requestId: string;
          readonly agentId: string;
          readonly attempt?: number;
          readonly cost: number;
      }
    | { readonly type: "documentAccepted"; readonly offset: number; readonly document: EnvironmentDocument }
    /** Graceful shutdown: admit no more requests and finish the open ones. */
    | { readonly type: "stopping" };

/** Actions that a router's core requests from its shell. */
export type RouterEffect =
    /** Send the request with its body to the agent, as one attempt. */
    | { readonly type: "sendWork"; readonly requestId: string; readonly agentId: string; readonly attempt: number }
    /** Withdraw the request from the agent; the reply is workWithdrawn or workStarted. */
    | { readonly type: "withdrawWork"; readonly requestId: string; readonly agentId: string }
    /** Notify the agent that the caller disconnected. */
    | { readonly type: "cancelWork"; readonly requestId: string; readonly agentId: string }
    /** Send the refusal to the caller as the final response. */
    | { readonly type: "refuse"; readonly requestId: string; readonly refusal: Refusal };

/** Service provided by other agents as replicated to a router: a lower bound, merged by maximum. */
export type ServiceClaims = readonly ServiceCounter[];
