import { afterEach, beforeEach, expect, it } from "vitest";
import { SystemClock } from "../../src/base/clock.js";
import { ReadTurns } from "../../src/http/readTurns.js";
import { TargetConnection } from "../../src/gateway/targetConnection.js";
import { EndlessServer } from "../fakes/usersPlatform/endlessServer.js";
import { waitUntil } from "./gatewayFixture.js";

/** Chunks of 14 bytes; a read of 64 KB holds more than four thousand of them. */
const server = { current: new EndlessServer("chunked-events", 0) };
const maxChunks = 20_000;

beforeEach(async () => {
    server.current = new EndlessServer("chunked-events", 0);
    await server.current.start();
});

afterEach(() => server.current.dispose());

// Without a bound, a target that sends small chunks endlessly takes all the time of the process, and other requests are refused.
it("a connection passes on a bounded number of chunks in one turn of the event loop", async () => {
    const limits = {
        connectTimeoutMs: 5_000,
        mostAnswerBytes: 10_000_000,
        readTurns: new ReadTurns(new SystemClock()),
    };
    const connections = [1, 2, 3].map(() => new TargetConnection(server.current.address, limits, () => undefined));
    let chunks = 0;
    let inTurn = 0;
    let mostInTurn = 0;
    const watchTurns = (): void => {
        mostInTurn = Math.max(mostInTurn, inTurn);
        inTurn = 0;
        if (chunks < maxChunks) {
            setImmediate(watchTurns);
        }
    };
    watchTurns();
    for (const connection of connections) {
        const headers = ["X-Lynxarch-Attempt-Id", "a1"];
        connection.send(
            { method: "GET", path: "/", headers, body: undefined },
            {
                canStart: () => true,
                handleSent: () => undefined,
                handleHead: () => undefined,
                handleData: () => {
                    chunks += 1;
                    inTurn += 1;
                    return 1;
                },
                handleDrain: () => undefined,
                handleEnd: () => undefined,
                handleFailure: () => undefined,
            },
        );
    }
    await waitUntil(() => chunks >= maxChunks);
    connections.forEach(connection => connection.dispose());
    // Each chunk counts twice, as a chunk and as an event; all connections may begin in the same turn, and one more may go on.
    expect(mostInTurn).toBeLessThanOrEqual(4 * 512);
});

it("connections that wait go on one after the other", async () => {
    const turns = new ReadTurns(new SystemClock());
    const order: string[] = [];
    const add = (name: string, count: number): void => {
        turns.add(() => {
            order.push(name);
            if (count > 1) {
                add(name, count - 1);
            }
        });
    };
    add("a", 3);
    add("b", 1);
    add("c", 2);
    await waitUntil(() => order.length === 6);
    expect(order).toEqual(["a", "b", "c", "a", "c", "a"]);
});
