import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { TargetServer } from "../fakes/usersPlatform/targetServer.js";
import {
    createConfiguration,
    createPromptHeaders,
    GatewayFixture,
    waitUntil,
    type CallerResponse,
} from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };
const timeoutMs = 60_000;
const stopGraceSeconds = 4;

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    const routes = (createConfiguration(1).routes as object[]).map(route => ({ ...route, timeout_ms: timeoutMs }));
    await fixture.current.start(createConfiguration(1, { routes }));
});

afterEach(() => fixture.current.dispose());

function send(path: string, id: string): Promise<CallerResponse> {
    const headers = createPromptHeaders(id, { "x-lynxarch-deadline-ms": String(timeoutMs) });
    return fixture.current.send({ path, headers });
}

function describeResponse({ status, body, isIncomplete, headers }: CallerResponse): object {
    const code = body.startsWith("{") ? (JSON.parse(body) as { readonly code: string }).code : undefined;
    return { status, code, isIncomplete, connection: headers.connection, hasRetryTime: "retry-after" in headers };
}

async function startFleet(): Promise<readonly [app: TargetServer, engine: TargetServer]> {
    const app = await fixture.current.addTarget("app", "app-1");
    const engine = await fixture.current.addTarget("engines", "engine-1");
    await fixture.current.addRouter({ stopGraceSeconds });
    return [app, engine];
}

describe("a router that stops", () => {
    // Its callers got a reset, and did not know whether the request had been sent to a target.
    it("answers the requests that last longer than its grace period", async () => {
        const [app] = await startFleet();
        app.workMs = timeoutMs;
        const responses = [send("/book/x", "b1"), send("/find/x", "f1")];
        await waitUntil(() => app.received.length === 2);
        await fixture.current.routers[0].daemon.stop();
        expect((await Promise.all(responses)).map(describeResponse)).toMatchInlineSnapshot(`
          [
            {
              "code": "router-stopped",
              "connection": "close",
              "hasRetryTime": false,
              "isIncomplete": false,
              "status": 502,
            },
            {
              "code": "router-stopped",
              "connection": "close",
              "hasRetryTime": false,
              "isIncomplete": false,
              "status": 502,
            },
          ]
        `);
    });

    // A stream that ends with a reset may lose events that the router has relayed; its caller resumes behind the last one that it got.
    it("ends streams that last longer behind a whole event", async () => {
        const [, engine] = await startFleet();
        engine.eventPauseMs = 1_500;
        const response = send("/plan/x", "p1");
        await waitUntil(() => engine.received.length === 1);
        await fixture.current.routers[0].daemon.stop();
        const { status, isIncomplete, body } = await response;
        expect({ status, isIncomplete, endsWithEvent: body.endsWith("\n\n") }).toEqual({
            status: 200,
            isIncomplete: true,
            endsWithEvent: true,
        });
    });

    // A request that can't end in time and may not be repeated was sent to a target, and cut off at the end of the grace period.
    it("refuses late requests that may last longer than its grace period, and sends none of them", async () => {
        const [app] = await startFleet();
        const stopped = fixture.current.routers[0].daemon.stop();
        const response = await send("/book/x", "b1");
        await stopped;
        expect(describeResponse(response)).toMatchInlineSnapshot(`
          {
            "code": "stopping",
            "connection": "close",
            "hasRetryTime": true,
            "isIncomplete": false,
            "status": 503,
          }
        `);
        expect(app.received.length).toBe(0);
    });

    // Until the balancer has withdrawn the router, callers still reach it.
    it("serves late requests of routes whose requests are short", async () => {
        const [app] = await startFleet();
        await send("/book/x", "b1");
        const stopped = fixture.current.routers[0].daemon.stop();
        const response = await send("/book/x", "b2");
        await stopped;
        expect(describeResponse(response)).toMatchInlineSnapshot(`
          {
            "code": undefined,
            "connection": "close",
            "hasRetryTime": false,
            "isIncomplete": false,
            "status": 200,
          }
        `);
        expect(app.ran.length).toBe(2);
    });
});
