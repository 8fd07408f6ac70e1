import { createSocket } from "node:dgram";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { SystemClock } from "../../src/base/clock.js";
import { DisposableStore } from "../../src/base/lifecycle.js";
import type { Logger } from "../../src/base/log.js";
import { SeededRandom } from "../../src/base/random.js";
import { sleepOnTimer } from "../../src/base/sleep.js";
import { encodeCrashMessage } from "../../src/gateway/quarantine/crashMessage.js";
import { PeerExchange } from "../../src/gateway/peers/peerExchange.js";
import { PeerState } from "../../src/gateway/peers/peerState.js";
import { StoreFeed } from "../../platform/storeFeed.js";
import { SimulatedStore } from "../fakes/usersPlatform/simulatedStore.js";
import { findFreePort, waitUntil } from "./gatewayFixture.js";

const disposables = { current: new DisposableStore() };
const logged: string[] = [];
const logger: Logger = { write: (...[, message]) => void logged.push(message) };

beforeEach(() => {
    disposables.current = new DisposableStore();
    logged.length = 0;
});

afterEach(() => {
    disposables.current.dispose();
    vi.useRealTimers();
});

describe("a record that can't be applied", () => {
    // The reader would stop, or the process end, and find the same record after its next start.
    it("does not keep a router from following the others", async () => {
        vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "setImmediate", "clearImmediate", "performance"] });
        const client = new SimulatedStore();
        const feed = disposables.current.add(
            new StoreFeed({
                client,
                clock: new SystemClock(),
                random: new SeededRandom(1),
                sleep: sleepOnTimer,
                logger,
                drainMs: 2_000,
                contactMs: 3_000,
                applyMs: 2_000,
                heartbeatMs: 1_200,
            }),
        );
        const applied: string[] = [];
        feed.onDidChange(change => {
            const id = change.kind === "target" ? change.id : change.kind === "data-centre" ? change.dataCentre : "";
            if (id.startsWith("failing")) {
                throw new Error("can't be applied");
            }
            applied.push(id);
        });
        const entry = { service: "app", address: "127.0.0.1:80", zone: "dc-a", slots: 8, state: "ready" };
        for (const id of ["a", "failing-1", "b"]) {
            client.write("keyed.servers", id, entry);
            client.write("keyed.op", `evacuate/${id}`, {});
        }
        feed.start();
        await vi.advanceTimersByTimeAsync(3_000);
        for (const id of ["failing-2", "c"]) {
            client.write("keyed.servers", id, entry);
            client.write("keyed.op", `evacuate/${id}`, {});
        }
        await vi.advanceTimersByTimeAsync(5_000);
        expect(applied.sort()).toEqual(["a", "a", "b", "b", "c", "c"]);
        expect(new Set(logged)).toEqual(new Set(["applying a record failed"]));
    });
});

describe("a message of a router that can't be processed", () => {
    // An exception at the socket would end the process.
    it("does not keep those after it from being processed", async () => {
        const port = await findFreePort();
        const clock = new SystemClock();
        const state = new PeerState({
            own: { routerId: "router-1", ip: "127.0.0.1" },
            seedIps: [],
            clock,
            listOwnLoads: () => [],
            listOwnAccounts: () => ({ coveredMs: 0, accounts: new Map() }),
            listLeaving: () => [],
            getCondition: () => ({ dataCentre: "a", processorShare: 1, utilization: 0, isWithdrawn: false }),
            onDidUpdatePeerLoads: () => undefined,
            onDidReceiveMessage: () => undefined,
        });
        vi.spyOn(state, "findRouter").mockReturnValue("router-2");
        const received: string[] = [];
        const ignore = (): void => undefined;
        const exchange = disposables.current.add(
            new PeerExchange({
                ip: "127.0.0.1",
                port,
                state,
                clock,
                logger,
                isRelaying: () => false,
                onDidReceiveGrantMessage: ignore,
                onDidReceiveCrashMessage: ({ cleared }) => {
                    received.push(cleared[0]);
                    throw new Error("can't be processed");
                },
                onDidReceivePartMessage: ignore,
                onDidReceiveRolloutMessage: ignore,
                onDidReceiveStreamVersionMessage: ignore,
            }),
        );
        await exchange.start();
        const sender = createSocket("udp4");
        disposables.current.add({ dispose: () => sender.close() });
        const digests = ["a".repeat(32), "b".repeat(32)];
        for (const digest of digests) {
            sender.send(encodeCrashMessage({ evidence: [], cleared: [digest] }), port, "127.0.0.1");
            await waitUntil(() => received.includes(digest));
        }
        expect({ received, logged }).toEqual({ received: digests, logged: ["dropped a message from a router"] });
    });
});
