import { BodyBudget } from "../../src/decisions/limits/bodyBudget.js";
import { createConnectionOptions } from "../fakes/connectionOptions.js";
import { request, type IncomingHttpHeaders } from "node:http";
import fc from "fast-check";
import { err, ok } from "neverthrow";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { SystemClock } from "../../src/base/clock.js";
import { DisposableStore } from "../../src/base/lifecycle.js";
import { NoopLogger } from "../../src/base/log.js";
import { NoopMetrics } from "../../src/base/metrics.js";
import { SeededRandom } from "../../src/base/random.js";
import { listenOn } from "../../src/control/server.js";
import { NoopEventRecorder } from "../../src/events/fleetEvent.js";
import { EventRing } from "../../src/events/eventRing.js";
import { HybridClock } from "../../src/events/hybridClock.js";
import { TimerScheduler } from "../../src/fleet/coreRunner.js";
import { defaultRouterOptions } from "../../src/fleet/router/options.js";
import { RouterCore } from "../../src/fleet/router/routerCore.js";
import { AgentDirectory } from "../../src/router/agentDirectory.js";
import { CallerRequests } from "../../src/router/callerRequests.js";
import { createCallerApp } from "../../src/router/callerServer.js";
import { RouterService } from "../../src/router/routerService.js";
import { WorkSender } from "../../src/router/workSender.js";
import { getKey } from "../fakes/callers.js";
import { buildFleetDocument, listFleetTargets, modelService, plainService } from "../fakes/fleetDocument.js";
import { findFreePort } from "../fakes/processes.js";

interface Answer {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly text: string;
}

const store = new DisposableStore();
const document = buildFleetDocument(listFleetTargets(1, 2));
const key = getKey("club");
const bodyBudgetBytes = 67_108_864;
const noRefusal = { reason: "no-target", execution: "unknown", retryAfterMs: 1, detail: "none" } as const;
let port = 0;

/** A router without any agent: everything well-formed is refused in time, everything else must be named. */
beforeAll(async () => {
    const clock = new SystemClock();
    const events = new EventRing(new HybridClock(clock), { daemon: "r", incarnation: 1 }, 100);
    const options = { ...defaultRouterOptions, noTargetWaitMs: 0 };
    const core = new RouterCore("r", "dc-1", options, new NoopEventRecorder(), new SeededRandom(1));
    const parts = {
        clock,
        scheduler: new TimerScheduler(),
        logger: new NoopLogger(),
        metrics: new NoopMetrics(),
        events,
    };
    const directory = store.add(new AgentDirectory("secret", { add: () => undefined }));
    const sender = store.add(new WorkSender("r", "secret", clock, events, core));
    const service = store.add(
        new RouterService({ core, directory, sender, ...parts, findIssuedHome: () => undefined }),
    );
    service.send({ type: "documentAccepted", offset: 0, document });
    const requests = new CallerRequests({
        service,
        keys: { findHome: () => err(noRefusal), issue: () => ok("lx1.issued") },
        clock,
        logger: parts.logger,
        getDocument: () => ({ offset: 0, document }),
        isStopping: () => false,
        bodyBudget: new BodyBudget(bodyBudgetBytes),
    });
    port = await findFreePort();
    const listener = await listenOn(createCallerApp(requests), "127.0.0.1", port, createConnectionOptions());
    store.add(listener._unsafeUnwrap());
});

afterAll(() => store.dispose());

function send(method: string, path: string, headers: Record<string, string>, body: string): Promise<Answer> {
    return new Promise((resolve, reject) => {
        const sent = request({ host: "127.0.0.1", port, method, path, headers, agent: false }, response => {
            const parts: Buffer[] = [];
            response.on("data", part => parts.push(part as Buffer));
            response.on("end", () =>
                resolve({
                    status: response.statusCode ?? 0,
                    headers: response.headers,
                    text: Buffer.concat(parts).toString(),
                }),
            );
        });
        sent.once("error", reject);
        sent.end(body);
    });
}

/** What must hold of any answer: no internal failure, no stack, a request id, and the promise about running. */
function checkAnswer(answer: Answer): void {
    expect(answer.status, answer.text).not.toBe(500);
    expect(answer.text).not.toMatch(/at .*\.(ts|js):\d+|node_modules/);
    if (answer.status >= 400) {
        expect(answer.headers["content-type"]).toBe("application/problem+json");
        expect(JSON.parse(answer.text)).toMatchObject({
            status: answer.status,
            requestId: answer.headers["x-request-id"],
        });
    }
}

const authorization = { authorization: `Bearer ${key}` };
const segment = fc.oneof(
    fc.constantFrom(
        "v1",
        "services",
        plainService,
        "chat",
        "completions",
        "models",
        "..",
        ".",
        "%2e%2e",
        "",
        "a",
        "%00",
    ),
    fc.stringMatching(/^[a-zA-Z0-9%_.~-]{0,12}$/),
);
const settings = { seed: 20_261_202, numRuns: 150 };

describe("the callers' API under any input", () => {
    it("names the fault of any body", { timeout: 60_000 }, async () => {
        const chat = fc.record(
            {
                model: fc.oneof(fc.constant(modelService), fc.string(), fc.integer()),
                messages: fc.oneof(fc.array(fc.anything(), { maxLength: 3 }), fc.string()),
                stream: fc.oneof(fc.boolean(), fc.string()),
                max_tokens: fc.oneof(fc.integer(), fc.double(), fc.string()),
            },
            { requiredKeys: [] },
        );
        const body = fc.oneof(
            fc.string(),
            fc.json(),
            chat.map(value => JSON.stringify(value)),
        );
        await fc.assert(
            fc.asyncProperty(body, async text => {
                checkAnswer(await send("POST", "/v1/chat/completions", authorization, text));
            }),
            settings,
        );
    });

    it("names the fault of any path and method", { timeout: 60_000 }, async () => {
        const path = fc.array(segment, { maxLength: 6 }).map(parts => `/${parts.join("/")}`);
        const method = fc.constantFrom("GET", "POST", "PUT", "DELETE", "PATCH");
        await fc.assert(
            fc.asyncProperty(path, method, async (target, verb) => {
                checkAnswer(await send(verb, target, authorization, ""));
            }),
            settings,
        );
    });

    it("lets no key through that the document does not hold", { timeout: 60_000 }, async () => {
        const offered = fc.oneof(
            fc.stringMatching(/^[ -~]{0,80}$/),
            fc.constantFrom("Bearer", "Bearer ", `bearer ${key}`, `Bearer ${key} `, `Bearer ${key}x`, `Basic ${key}`),
        );
        await fc.assert(
            fc.asyncProperty(offered, async header => {
                fc.pre(header.trim() !== `Bearer ${key}`);
                const answer = await send("GET", "/v1/models", { authorization: header }, "");
                expect([answer.status, answer.text.includes(modelService)]).toEqual([401, false]);
            }),
            settings,
        );
    });
});
