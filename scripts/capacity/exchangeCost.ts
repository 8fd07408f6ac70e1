import type { Socket } from "node:net";
import { serve } from "@hono/node-server";
import { CancellationTokenSource } from "../../src/base/cancellation.js";
import { SeededRandom } from "../../src/base/random.js";
import { createControlClient } from "../../src/control/client.js";
import type { ControlHost, ExchangeRequest } from "../../src/control/host.js";
import { createControlApp } from "../../src/control/server.js";
import { NoopEventRecorder } from "../../src/events/fleetEvent.js";
import { AgentCore, defaultAgentOptions } from "../../src/fleet/agent/agentCore.js";
import type { ServiceCounter } from "../../src/fleet/entities.js";
import { buildFleetDocument, listFleetTargets, modelService } from "../../test/fakes/fleetDocument.js";

/** What one exchange between a router and an agent costs, headers and both ends included. */
export interface ExchangeCost {
    /** Accounts whose counters are in the request (claims) and in the reply (report). */
    readonly accounts: number;
    readonly bytes: number;
    /** Processor time of both ends together; microseconds. */
    readonly cpuUs: number;
}

const secret = "secret-for-measuring";
const rounds = 400;
/** Rounds before the measured ones; the first hundreds run code that is not yet compiled and cost several times more. */
const warmUpRounds = 2_000;

/** Measures exchanges over loopback for several numbers of changed accounts. */
export async function measureExchangeCosts(accountCounts: readonly number[]): Promise<readonly ExchangeCost[]> {
    const costs: ExchangeCost[] = [];
    for (const accounts of accountCounts) {
        costs.push(await measureExchangeCost(accounts));
    }
    return costs;
}

async function measureExchangeCost(accounts: number): Promise<ExchangeCost> {
    const app = createControlApp(createHost(), { isReady: () => true }, secret);
    const sockets = new Set<Socket>();
    const { server, port } = await new Promise<{ server: ReturnType<typeof serve>; port: number }>(resolve => {
        const started = serve({ fetch: app.fetch, hostname: "127.0.0.1", port: 0 }, info =>
            resolve({ server: started, port: info.port }),
        );
        started.on("connection", (socket: Socket) => sockets.add(socket));
    });
    const client = createControlClient({ address: `127.0.0.1:${port}`, secret });
    const { token } = new CancellationTokenSource();
    const request = createRequest(accounts);
    const countBytes = (): number =>
        [...sockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
    for (let round = 0; round < warmUpRounds; round++) {
        await client.sendExchange(request, token);
    }
    const bytesBefore = countBytes();
    const cpuBefore = process.cpuUsage();
    for (let round = 0; round < rounds; round++) {
        const reply = await client.sendExchange(request, token);
        if (reply.isErr()) {
            throw reply.error;
        }
    }
    const cpu = process.cpuUsage(cpuBefore);
    const bytes = countBytes() - bytesBefore;
    client.dispose();
    server.close();
    return {
        accounts,
        bytes: Math.round(bytes / rounds),
        cpuUs: Math.round((cpu.user + cpu.system) / rounds),
    };
}

function createRequest(accounts: number): ExchangeRequest {
    return {
        routerId: "router-1",
        incarnation: 1_796_253_741_490,
        time: { wallMs: 1_796_253_741_490, counter: 0 },
        documentOffset: 12,
        acknowledgedSequence: undefined,
        claims: [...Array(accounts).keys()].map(createCounter),
        document: undefined,
    };
}

function createCounter(index: number): ServiceCounter {
    return {
        service: modelService,
        clientAccount: `account-${index}`,
        charged: 123_456.75 + index,
        refunded: 3_456.25 + index,
        lift: 1_000.5 + index,
    };
}

function createHost(): ControlHost {
    const core = createCore();
    const unused = (): never => {
        throw new Error("not measured");
    };
    return {
        getStatus: unused,
        listEvents: unused,
        listShares: unused,
        getDocument: unused,
        listRoster: unused,
        agent: {
            handleExchange: request => {
                core.handle({ type: "claimsReceived", routerId: request.routerId, claims: request.claims }, 0);
                const report = core.createReport(undefined);
                // As many counters in the reply as in the request: all these accounts were served here since the last.
                return { time: request.time, routerCount: 1, report: { ...report, counters: request.claims } };
            },
            withdrawWork: unused,
        },
    };
}

function createCore(): AgentCore {
    const identity = { agentId: "a", incarnation: 1, targetName: "t1-1", dataCentre: "dc-1", services: [modelService] };
    const core = new AgentCore(identity, defaultAgentOptions, new NoopEventRecorder(), new SeededRandom(1));
    core.handle({ type: "documentAccepted", offset: 0, document: buildFleetDocument(listFleetTargets(3, 5)) }, 0);
    return core;
}
