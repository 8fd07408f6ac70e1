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

// A connection takes up to a second to be set up, and its target may want nothing any more by then.
it("is not written once the connection is up, and says so", async () => {
    const connection = new TargetConnection(server.current.address, limits, () => undefined);
    const failure = await new Promise<SendFailure | "sent">(resolve => {
        connection.send(
            { method: "POST", path: "/", headers: [], body: Buffer.from("body") },
            {
                canStart: () => false,
                handleSent: () => resolve("sent"),
                handleHead: () => undefined,
                handleData: () => undefined,
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
