import type { Random } from "../src/base/random.js";
import { NoopEventRecorder } from "../src/events/fleetEvent.js";
import { AgentCore, defaultAgentOptions } from "../src/fleet/agent/agentCore.js";
import type { AgentIdentity } from "../src/fleet/entities.js";
import { defaultRouterOptions } from "../src/fleet/router/options.js";
import { RouterCore } from "../src/fleet/router/routerCore.js";
import type { BenchAgent, BenchRouter, BenchSystem } from "./system.js";

/** The cores that the daemons run. */
export class ProductSystem implements BenchSystem {
    public readonly name = "lynxarch";
    public readonly hasExchange = true;
    public readonly reportsWhenQueued = true;

    public createRouter(routerId: string, dataCentre: string, random: Random): BenchRouter {
        return new RouterCore(routerId, dataCentre, defaultRouterOptions, new NoopEventRecorder(), random);
    }

    public createAgent(identity: AgentIdentity, random: Random): BenchAgent {
        return new AgentCore(identity, defaultAgentOptions, new NoopEventRecorder(), random);
    }
}
