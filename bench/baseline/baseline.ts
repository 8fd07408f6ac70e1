import type { AgentIdentity } from "../../src/fleet/entities.js";
import type { BenchAgent, BenchRouter, BenchSystem } from "../system.js";
import { FifoAgent } from "./fifoAgent.js";
import { RoundRobinRouter } from "./roundRobinRouter.js";

/** Round robin over targets with first-in-first-out queues: what a plain load balancer does. */
export class BaselineSystem implements BenchSystem {
    public readonly name = "round-robin-fifo";
    public readonly hasExchange = false;
    public readonly reportsWhenQueued = false;

    public createRouter(): BenchRouter {
        return new RoundRobinRouter();
    }

    public createAgent(identity: AgentIdentity): BenchAgent {
        return new FifoAgent(identity);
    }
}
