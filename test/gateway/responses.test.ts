import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { TargetServer } from "../fakes/usersPlatform/targetServer.js";
import { createPromptHeaders, GatewayFixture, waitUntil, type CallerResponse } from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    await fixture.current.start();
});

afterEach(() => fixture.current.dispose());

/** What matters of an answer to its caller. */
function describeAnswer(answer: CallerResponse): object {
    const { status, isIncomplete: isBroken, body } = answer;
    const isOwn = answer.headers["content-type"] === "application/problem+json";
    return {
        status,
        isBroken,
        body: isOwn ? (JSON.parse(body) as { code: string }).code : body,
        signature: answer.headers["x-lynxarch-engine-stamp"],
        retryAfter: answer.headers["retry-after"] !== undefined,
    };
}

async function startPlain(): Promise<TargetServer> {
    const target = await fixture.current.addTarget("app", "app-1");
    await fixture.current.addRouter();
    return target;
}

describe("an answer of a plain service", () => {
    it("goes to its caller as the target gave it, and the request to the target as the caller sent it", async () => {
        const target = await startPlain();
        const headers = {
            "x-lynxarch-attempt-id": "a1",
            "x-lynxarch-tenant": "forged",
            "x-lynxarch-kv-hold": "forged",
            "x-lynxarch-expect-instance": "forged",
            "kv-from": "10.0.0.1:80/x",
            "x-other": "kept",
        };
        const answer = await fixture.current.send({ path: "/book/seat?row=1", body: "seat 4", headers });
        const { method, url, body, headers: got } = target.received[0];
        const { host, "content-length": length, "x-other": other, ...rest } = got;
        expect(describeAnswer(answer)).toMatchInlineSnapshot(`
          {
            "body": "answer to a1",
            "isBroken": false,
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

    // The target resets the connection in the middle of an answer that has no length. HTTP clients take any end of the
    // connection for the end of such an answer, and the caller would book the part that it got. When the reset comes right
    // behind the bytes, libuv even tells a clean end: it reads the bytes, sees the hang-up and does not ask for the error.
    it.each(["reset-unframed", "reset-unframed-at-once"] as const)(
        "that has no length is no success (%s)",
        async script => {
            const target = await startPlain();
            target.scripts.push(script);
            const answer = await fixture.current.send({ path: "/book/x", headers: { "x-lynxarch-attempt-id": "a1" } });
            expect(describeAnswer(answer)).toMatchInlineSnapshot(`
          {
            "body": "target-broke",
            "isBroken": false,
            "retryAfter": false,
            "signature": undefined,
            "status": 502,
          }
        `);
        },
    );

    it("that has no length and ends with its connection is whole", async () => {
        const target = await startPlain();
        target.scripts.push("unframed");
        const answer = await fixture.current.send({ path: "/book/x", headers: { "x-lynxarch-attempt-id": "a1" } });
        expect(describeAnswer(answer)).toMatchInlineSnapshot(`
          {
            "body": "answer to a1",
            "isBroken": false,
            "retryAfter": false,
            "signature": "s",
            "status": 200,
          }
        `);
    });

    // The target answers a request twice. The second answer arrives where the answer to the next caller's request is
    // expected, and would be given to that caller.
    it("that comes a second time is given to nobody else", async () => {
        const target = await startPlain();
        target.scripts.push("late-extra", "hang");
        await fixture.current.send({ path: "/book/x", headers: { "x-lynxarch-attempt-id": "a1" } });
        const second = await fixture.current.send({ path: "/book/x", headers: { "x-lynxarch-attempt-id": "a2" } });
        expect(describeAnswer(second)).toMatchInlineSnapshot(`
          {
            "body": "target-broke",
            "isBroken": false,
            "retryAfter": false,
            "signature": undefined,
            "status": 502,
          }
        `);
    });

    // The target runs the request and breaks off its answer. The call may not be repeated, and it may have run: the caller
    // is told so, with a status that promises nothing, and the target sees the request once.
    it("that breaks off is not asked for again when the request may run only once", async () => {
        const target = await startPlain();
        target.usual = "break-off";
        const answer = await fixture.current.send({ path: "/book/x", headers: { "x-lynxarch-attempt-id": "a1" } });
        expect(describeAnswer(answer)).toMatchInlineSnapshot(`
          {
            "body": "target-broke",
            "isBroken": false,
            "retryAfter": false,
            "signature": undefined,
            "status": 502,
          }
        `);
        expect(target.ran.length).toBe(1);
    });

    // The same break, of a call that may be repeated: another target answers, and the caller notices nothing.
    it("that breaks off is asked for once more elsewhere when the request may be repeated", async () => {
        const target = await startPlain();
        const other = await fixture.current.addTarget("app", "app-2");
        target.usual = "break-off";
        other.usual = "break-off";
        await new Promise(resolve => setTimeout(resolve, 600));
        other.usual = "serve";
        const answers = [];
        for (let index = 0; index < 4; index++) {
            const headers = { "x-lynxarch-attempt-id": `a${index}` };
            answers.push((await fixture.current.send({ path: "/find/x", method: "GET", headers })).status);
        }
        expect(answers).toEqual([200, 200, 200, 200]);
    });

    // The target is full and says that it did not run the request; the route allows one target only. The caller is told
    // the same, and when to come back.
    it("is a refusal that says when to come back, when the target did not run the request", async () => {
        const target = await startPlain();
        target.scripts.push("shed");
        const answer = await fixture.current.send({ path: "/book/x", headers: { "x-lynxarch-attempt-id": "a1" } });
        expect(describeAnswer(answer)).toMatchInlineSnapshot(`
          {
            "body": "no-target",
            "isBroken": false,
            "retryAfter": true,
            "signature": undefined,
            "status": 503,
          }
        `);
    });

    it("is passed on with its signature when it is a failure of the target's own", async () => {
        const target = await startPlain();
        target.usual = "error";
        const answer = await fixture.current.send({ path: "/book/x", headers: { "x-lynxarch-attempt-id": "a1" } });
        expect(describeAnswer(answer)).toMatchInlineSnapshot(`
          {
            "body": "engine error",
            "isBroken": false,
            "retryAfter": false,
            "signature": "stamp.app-1",
            "status": 500,
          }
        `);
    });

    // A target hangs. The caller waits for as long as the route allows and gets a final answer then, not when it leaves.
    it("that never comes ends with the route's timeout", async () => {
        const target = await startPlain();
        target.usual = "hang";
        const answer = await fixture.current.send({ path: "/book/x", headers: { "x-lynxarch-attempt-id": "a1" } });
        expect(describeAnswer(answer)).toMatchInlineSnapshot(`
          {
            "body": "timeout",
            "isBroken": false,
            "retryAfter": false,
            "signature": undefined,
            "status": 504,
          }
        `);
    });

    // A caller leaves while its target works. The target must learn it, or it works on for nobody.
    it("is no longer wanted when its caller leaves", async () => {
        const target = await startPlain();
        target.usual = "hang";
        const headers = { "x-lynxarch-attempt-id": "a1" };
        await expect(fixture.current.send({ path: "/book/x", headers, disconnectAfterMs: 100 })).rejects.toThrow(
            "left",
        );
        await waitUntil(() => target.received[0]?.isAborted);
        expect(target.received.length).toBe(1);
    });
});

describe("a stream", () => {
    it("is passed on event by event", async () => {
        await fixture.current.addTarget("engines", "engine-1");
        await fixture.current.addRouter();
        const answer = await fixture.current.send({ path: "/plan/x", headers: createPromptHeaders("a1") });
        expect(describeAnswer(answer)).toMatchInlineSnapshot(`
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
            "isBroken": false,
            "retryAfter": false,
            "signature": "stamp.engine-1",
            "status": 200,
          }
        `);
    });

    // An engine breaks off in the middle of an event. The stream goes on at another engine behind the last whole event; the
    // caller gets each event once, under the first engine's head.
    it.each(["tear-event", "break-off"] as const)("goes on at another engine after a break (%s)", async script => {
        const first = await fixture.current.addTarget("engines", "engine-1");
        const second = await fixture.current.addTarget("engines", "engine-2");
        await fixture.current.addRouter();
        const home = await findHome(first, second);
        home.scripts.push(script);
        const answer = await fixture.current.send({ path: "/plan/x", headers: createPromptHeaders("a1") });
        const other = home === first ? second : first;
        expect(answer.isIncomplete).toBe(false);
        expect(answer.body.match(/id: \d/g)).toEqual(["id: 1", "id: 2", "id: 3", "id: 4", "id: 5"]);
        expect(other.received.map(request => request.headers["last-event-id"])).toEqual(["2"]);
    });

    // The same break on a route whose streams may not be resumed: the caller must see that the end is missing.
    it("shows that it broke off where it can't go on", async () => {
        const engine = await fixture.current.addTarget("engines", "engine-1");
        await fixture.current.addRouter();
        engine.scripts.push("break-off");
        const answer = await fixture.current.send({ path: "/once/x", headers: createPromptHeaders("a1") });
        expect(describeAnswer(answer)).toMatchInlineSnapshot(`
          {
            "body": "id: 1
          data: piece 1

          id: 2
          data: piece 2

          ",
            "isBroken": true,
            "retryAfter": false,
            "signature": "stamp.engine-1",
            "status": 200,
          }
        `);
        expect(engine.received.length).toBe(1);
    });
});

/** The engine that requests with the usual prompt go to. */
async function findHome(first: TargetServer, second: TargetServer): Promise<TargetServer> {
    await fixture.current.send({ path: "/plan/x", headers: createPromptHeaders("a0") });
    const home = first.received.length > 0 ? first : second;
    first.received.length = 0;
    second.received.length = 0;
    return home;
}
