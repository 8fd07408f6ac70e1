import { afterEach, beforeEach, expect, it } from "vitest";
import { TargetConnection, type SendFailure } from "../../src/gateway/targetConnection.js";
import { TargetServer } from "../fakes/usersPlatform/targetServer.js";

const limits = { connectTimeoutMs: 5_000, mostAnswerBytes: 1_000 };
const server = { current: new TargetServer("engine-1", true) };

beforeEach(async () => {
    server.current = new TargetServer("engine-1", true);
    await server.current.start();
});

afterEach(() => server.current.dispose());

// Establishing a connection takes up to a second, and the target may have stopped accepting requests by then.
it("a request that must not start any more is reported as withheld and not written once the connection is established", async () => {
    const connection = new TargetConnection(server.current.address, limits, () => undefined);
    const failure = await new Promise<SendFailure | "sent">(resolve => {
        connection.send(
            { method: "POST", path: "/", headers: [], body: Buffer.from("body") },
            {
                canStart: () => false,
                handleDrain: () => undefined,
                handleSent: () => resolve("sent"),
                handleHead: () => undefined,
                handleData: () => 0,
                handleEnd: () => undefined,
                handleFailure: resolve,
            },
        );
    });
    const received = server.current.received.length;
    expect({ failure, received, isUsable: connection.isUsable }).toMatchInlineSnapshot(`
      {
        "failure": "withheld",
        "isUsable": false,
        "received": 0,
      }
    `);
});
