import { describe, expect, it } from "vitest";
import { ManualClock } from "../../src/base/clock.js";
import { NoopLogger } from "../../src/base/log.js";
import { NoopMetrics } from "../../src/base/metrics.js";
import type { RosterEntry } from "../../src/control/schemas.js";
import { NoopEventRecorder } from "../../src/events/fleetEvent.js";
import { AgentDirectory } from "../../src/router/agentDirectory.js";
import type { CallerAnswer } from "../../src/router/callerAnswer.js";
import { RouterService } from "../../src/router/routerService.js";
import type { FrameTaker, WorkSender } from "../../src/router/workSender.js";
import { createRequest, createRouter } from "../fleet/routerFixtures.js";

const entries: readonly RosterEntry[] = ["t1", "t2"].map(daemonId => ({
    daemonId,
    role: "agent",
    incarnation: 1,
    address: "127.0.0.1:1",
    dataCentre: "a",
    vmId: daemonId,
    services: ["model"],
}));

/** Agents that start each request and then fall silent: no frame, no reset, as from a VM that has vanished. */
class SilentSender {
    public readonly sentTo: string[] = [];

    public async send(...[, , agent, take]: Parameters<WorkSender["send"]>): Promise<undefined> {
        this.sentTo.push(agent.id);
        await (take as FrameTaker)({ type: "started" });
        return await new Promise(() => undefined);
    }
}

function createAnswer(failures: string[]): CallerAnswer {
    return {
        hasBegun: false,
        writeHead: async () => undefined,
        writeChunk: async () => undefined,
        end: async () => undefined,
        fail: problem => failures.push(`${problem.code} ${problem.execution}`),
        clear: () => undefined,
    };
}

describe("a request that has started at an agent that vanishes", () => {
    // The agent's VM is cut off: its connections stay open and nothing comes over them. Before the silence was bounded
    // the callers waited for ever. Now a repeatable request goes to another agent and the other one is told "unknown".
    it("is ended after the silence, and run elsewhere only if that does no harm", async () => {
        const sender = new SilentSender();
        const failures: string[] = [];
        const due: (() => void)[] = [];
        const core = createRouter(["t1", "t2"]);
        const directory = new AgentDirectory("secret", { add: () => undefined });
        directory.update(entries);
        const service = new RouterService({
            core,
            directory,
            sender: sender as unknown as WorkSender,
            clock: new ManualClock(),
            scheduler: { run: callback => ({ dispose: () => due.push(callback) && undefined }) },
            logger: new NoopLogger(),
            metrics: new NoopMetrics(),
            events: new NoopEventRecorder(),
            findIssuedHome: () => undefined,
        });
        const submit = (id: string, idempotent: boolean): void =>
            service.submit({
                work: createRequest(id, { idempotent }),
                body: Buffer.alloc(0),
                call: undefined,
                answer: createAnswer(failures),
                homeAgentId: undefined,
            });
        submit("once", false);
        await Promise.resolve();
        const [first] = sender.sentTo;
        service.send({ type: "agentLost", agentId: first });
        expect([failures, service.openCount]).toEqual([[], 1]);
        service.endTriesAt(first);
        expect([failures, service.openCount]).toMatchInlineSnapshot(`
          [
            [
              "target-failed unknown",
            ],
            0,
          ]
        `);
        directory.dispose();
    });
});
