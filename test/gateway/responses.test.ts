import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { TargetServer } from "../fakes/usersPlatform/targetServer.js";
import { createPromptHeaders, GatewayFixture, waitUntil, type CallerResponse } from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    await fixture.current.start();
});

afterEach(() => fixture.current.dispose());

/** The parts of a response that the tests compare. */
function describeResponse(response: CallerResponse): object {
    const { status, isIncomplete, body } = response;
    const isFromRouter = response.headers["content-type"] === "application/problem+json";
    return {
        status,
        isIncomplete,
        body: isFromRouter ? (JSON.parse(body) as { code: string }).code : body,
        signature: response.headers["x-lynxarch-engine-stamp"],
        retryAfter: response.headers["retry-after"] !== undefined,
    };
}

async function startPlain(): Promise<TargetServer> {
    const target = await fixture.current.addTarget("app", "app-1");
    await fixture.current.addRouter();
    return target;
}

describe("a response of a plain service", () => {
    it("is relayed to its caller unchanged, and the request to the target without the headers that only the router may set", async () => {
        const target = await startPlain();
        const headers = {
            "x-lynxarch-attempt-id": "a1",
            "x-lynxarch-tenant": "forged",
            "x-lynxarch-kv-hold": "forged",
            "x-lynxarch-expect-instance": "forged",
            "kv-from": "10.0.0.1:80/x",
            "x-other": "kept",
        };
        const response = await fixture.current.send({ path: "/book/seat?row=1", body: "seat 4", headers });
        const { method, url, body, headers: receivedHeaders } = target.received[0];
        const { host, "content-length": length, "x-other": other, ...rest } = receivedHeaders;
        expect(describeResponse(response)).toMatchInlineSnapshot(`
          {
            "body": "answer to a1",
            "isIncomplete": false,
            "retryAfter": false,
            "signature": "stamp.app-1",
            "status": 200,
          }
        `);
        expect({ method, url, body, host, length, other }).toMatchInlineSnapshot(`
          {
            "body": "seat 4",
            "host": "fleet.example",
            "length": "6",
            "method": "POST",
            "other": "kept",
            "url": "/book/seat?row=1",
          }
        `);
        expect(Object.keys(rest).filter(name => name.startsWith("x-") || name.startsWith("kv"))).toMatchInlineSnapshot(`
          [
            "x-lynxarch-attempt-id",
            "x-lynxarch-deadline-ms",
            "x-lynxarch-expect-instance",
          ]
        `);
        expect([rest["x-lynxarch-expect-instance"], rest.authorization]).toEqual(["app-1", undefined]);
    });

    // Bytes behind an earlier response that look like a refusal were taken for the response to the next request, which ran: its caller was
    // told that it had not, or it was sent to a second target.
    it("is not a refusal of the request if it does not name it", async () => {
        const target = await startPlain();
        target.omitsRefusalIds = true;
        target.scripts.push("shed");
        const response = await fixture.current.send({
            path: "/book/x",
            headers: { "x-lynxarch-attempt-id": "a1" },
        });
        expect(describeResponse(response)).toMatchInlineSnapshot(`
          {
            "body": "target-broke",
            "isIncomplete": false,
            "retryAfter": false,
            "signature": undefined,
            "status": 502,
          }
        `);
        expect(target.received.length).toBe(1);
    });

    // The target resets the connection in the middle of a response without a length. HTTP clients treat any end of the
    // connection as the end of such a response, so the caller would accept the partial body. If the reset directly follows the
    // bytes, libuv reports a regular end: it reads the bytes, detects the hang-up and does not query the error.
    it.each(["reset-unframed", "reset-unframed-at-once"] as const)(
        "without a length is a failure if its connection is reset (%s)",
        async script => {
            const target = await startPlain();
            target.scripts.push(script);
            const response = await fixture.current.send({
                path: "/book/x",
                headers: { "x-lynxarch-attempt-id": "a1" },
            });
            expect(describeResponse(response)).toMatchInlineSnapshot(`
          {
            "body": "target-broke",
            "isIncomplete": false,
            "retryAfter": false,
            "signature": undefined,
            "status": 502,
          }
        `);
        },
    );

    it("without a length is complete if its connection is closed", async () => {
        const target = await startPlain();
        target.scripts.push("unframed");
        const response = await fixture.current.send({ path: "/book/x", headers: { "x-lynxarch-attempt-id": "a1" } });
        expect(describeResponse(response)).toMatchInlineSnapshot(`
          {
            "body": "answer to a1",
            "isIncomplete": false,
            "retryAfter": false,
            "signature": "s",
            "status": 200,
          }
        `);
    });

    // The target responds to a request twice. The second response arrives where the response to the next caller's request is
    // expected, and would be relayed to that caller.
    it("that is sent twice is not relayed to another caller", async () => {
        const target = await startPlain();
        target.scripts.push("late-extra", "hang");
        await fixture.current.send({ path: "/book/x", headers: { "x-lynxarch-attempt-id": "a1" } });
        const second = await fixture.current.send({ path: "/book/x", headers: { "x-lynxarch-attempt-id": "a2" } });
        expect(describeResponse(second)).toMatchInlineSnapshot(`
          {
            "body": "target-broke",
            "isIncomplete": false,
            "retryAfter": false,
            "signature": undefined,
            "status": 502,
          }
        `);
    });

    // The target executes the request and disconnects during its response. The request must not be repeated, and the caller
    // receives a status that does not exclude execution. The target receives the request once.
    it("that is truncated is not requested again if the request must not be repeated", async () => {
        const target = await startPlain();
        target.usual = "break-off";
        const response = await fixture.current.send({ path: "/book/x", headers: { "x-lynxarch-attempt-id": "a1" } });
        expect(describeResponse(response)).toMatchInlineSnapshot(`
          {
            "body": "target-broke",
            "isIncomplete": false,
            "retryAfter": false,
            "signature": undefined,
            "status": 502,
          }
        `);
        expect(target.ran.length).toBe(1);
    });

    // The same disconnect for a request that may be repeated: another target responds, and the caller receives a complete response.
    it("that is truncated is requested from another target if the request may be repeated", async () => {
        const target = await startPlain();
        const other = await fixture.current.addTarget("app", "app-2");
        target.usual = "break-off";
        other.usual = "break-off";
        await new Promise(resolve => setTimeout(resolve, 600));
        other.usual = "serve";
        const statuses = [];
        for (let index = 0; index < 4; index++) {
            const headers = { "x-lynxarch-attempt-id": `a${index}` };
            statuses.push((await fixture.current.send({ path: "/find/x", method: "GET", headers })).status);
        }
        expect(statuses).toEqual([200, 200, 200, 200]);
    });

    // The target is full and reports that it did not execute the request; the route allows one attempt only. The caller
    // receives a refusal with a Retry-After header.
    it("is a refusal with a retry time if the target did not execute the request", async () => {
        const target = await startPlain();
        target.scripts.push("shed");
        const response = await fixture.current.send({ path: "/book/x", headers: { "x-lynxarch-attempt-id": "a1" } });
        expect(describeResponse(response)).toMatchInlineSnapshot(`
          {
            "body": "no-target",
            "isIncomplete": false,
            "retryAfter": true,
            "signature": undefined,
            "status": 503,
          }
        `);
    });

    it("is relayed with its signature if it is an error response of the target", async () => {
        const target = await startPlain();
        target.usual = "error";
        const response = await fixture.current.send({ path: "/book/x", headers: { "x-lynxarch-attempt-id": "a1" } });
        expect(describeResponse(response)).toMatchInlineSnapshot(`
          {
            "body": "engine error",
            "isIncomplete": false,
            "retryAfter": false,
            "signature": "stamp.app-1",
            "status": 500,
          }
        `);
    });

    // A target hangs. The caller receives a final response when the route's time-out is reached, before the caller itself times out.
    it("that never arrives is replaced by an error at the route's time-out", async () => {
        const target = await startPlain();
        target.usual = "hang";
        const response = await fixture.current.send({ path: "/book/x", headers: { "x-lynxarch-attempt-id": "a1" } });
        expect(describeResponse(response)).toMatchInlineSnapshot(`
          {
            "body": "timeout",
            "isIncomplete": false,
            "retryAfter": false,
            "signature": undefined,
            "status": 504,
          }
        `);
    });

    // A caller disconnects while its target executes the request. The target's connection must be closed, or it continues in vain.
    it("is cancelled at the target when its caller disconnects", async () => {
        const target = await startPlain();
        target.usual = "hang";
        const headers = { "x-lynxarch-attempt-id": "a1" };
        await expect(fixture.current.send({ path: "/book/x", headers, disconnectAfterMs: 100 })).rejects.toThrow(
            "disconnected",
        );
        await waitUntil(() => target.received[0]?.isAborted);
        expect(target.received.length).toBe(1);
    });
});

describe("a stream", () => {
    it("is relayed event by event", async () => {
        await fixture.current.addTarget("engines", "engine-1");
        await fixture.current.addRouter();
        const response = await fixture.current.send({ path: "/plan/x", headers: createPromptHeaders("a1") });
        expect(describeResponse(response)).toMatchInlineSnapshot(`
          {
            "body": "id: 1
          data: piece 1

          id: 2
          data: piece 2

          id: 3
          data: piece 3

          id: 4
          data: piece 4

          id: 5
          data: piece 5

          ",
            "isIncomplete": false,
            "retryAfter": false,
            "signature": "stamp.engine-1",
            "status": 200,
          }
        `);
    });

    // An engine disconnects in the middle of an event. The stream is resumed at another engine after the last complete event;
    // the caller receives each event once, with the first engine's response head.
    it.each(["tear-event", "break-off"] as const)(
        "is resumed at another engine after a disconnect (%s)",
        async script => {
            const first = await fixture.current.addTarget("engines", "engine-1");
            const second = await fixture.current.addTarget("engines", "engine-2");
            await fixture.current.addRouter();
            const preferred = await findPreferred(first, second);
            preferred.scripts.push(script);
            const response = await fixture.current.send({ path: "/plan/x", headers: createPromptHeaders("a1") });
            const other = preferred === first ? second : first;
            expect(response.isIncomplete).toBe(false);
            expect(response.body.match(/id: \d/g)).toEqual(["id: 1", "id: 2", "id: 3", "id: 4", "id: 5"]);
            expect(other.received.map(request => request.headers["last-event-id"])).toEqual(["2"]);
        },
    );

    // The same disconnect on a route whose streams must not be resumed: the caller must be able to detect the truncation.
    it("ends visibly truncated if it can't be resumed", async () => {
        const engine = await fixture.current.addTarget("engines", "engine-1");
        await fixture.current.addRouter();
        engine.scripts.push("break-off");
        const response = await fixture.current.send({ path: "/once/x", headers: createPromptHeaders("a1") });
        expect(describeResponse(response)).toMatchInlineSnapshot(`
          {
            "body": "id: 1
          data: piece 1

          id: 2
          data: piece 2

          ",
            "isIncomplete": true,
            "retryAfter": false,
            "signature": "stamp.engine-1",
            "status": 200,
          }
        `);
        expect(engine.received.length).toBe(1);
    });
});

/** The engine that is selected for requests with the usual prompt. */
async function findPreferred(first: TargetServer, second: TargetServer): Promise<TargetServer> {
    await fixture.current.send({ path: "/plan/x", headers: createPromptHeaders("a0") });
    const preferred = first.received.length > 0 ? first : second;
    first.received.length = 0;
    second.received.length = 0;
    return preferred;
}
