import { createSocket, type Socket } from "node:dgram";
import { afterEach, expect, it, vi } from "vitest";
import { SystemClock } from "../../../src/base/clock.js";
import { DisposableStore } from "../../../src/base/lifecycle.js";
import { NoopLogger } from "../../../src/base/log.js";
import { MessageRelay } from "../../../src/gateway/peers/messageRelay.js";
import { PeerExchange } from "../../../src/gateway/peers/peerExchange.js";
import { decodePeerMessage, encodePeerMessage, type PeerMessage } from "../../../src/gateway/peers/peerMessage.js";
import { PeerState } from "../../../src/gateway/peers/peerState.js";
import { encodeRelayEnvelope, isRelayEnvelope } from "../../../src/gateway/peers/relayEnvelope.js";
import { selectPortBlock } from "../../fakes/portBlock.js";

const { firstPort: port } = selectPortBlock(17_600, 300);
const timeoutMs = 20_000;
const formerIp = "127.98.2.9";
const ips = ["127.98.1.1", "127.98.1.2", "127.98.2.1", "127.98.2.2", "127.98.2.3", "127.98.2.4"];
const store = new DisposableStore();

afterEach(() => store.dispose());

/** A router whose received messages are recorded. */
class Router {
    /** Newest sequence number by the origin's id. */
    public readonly received = new Map<string, number>();
    /** Messages that had an effect although they were not newer than the last one of their origin. */
    public repeated = 0;
    public readonly state: PeerState;
    public readonly exchange: PeerExchange;

    public constructor(public readonly ip: string) {
        const clock = new SystemClock();
        const ignore = (): void => undefined;
        this.state = new PeerState({
            own: { routerId: ip, ip },
            seedIps: [...ips, formerIp],
            clock,
            listOwnLoads: () => [],
            listOwnAccounts: () => ({ coveredMs: 0, accounts: new Map() }),
            listLeaving: () => [],
            getCondition: () => createCondition(ip),
            onDidUpdatePeerLoads: ignore,
            onDidReceiveMessage: ({ routerId, sequence }) => {
                this.repeated += sequence <= (this.received.get(routerId) ?? 0) ? 1 : 0;
                this.received.set(routerId, sequence);
            },
        });
        this.exchange = store.add(
            new PeerExchange({
                ip,
                port,
                state: this.state,
                clock,
                logger: new NoopLogger(),
                isRelaying: () => true,
                onDidReceiveGrantMessage: ignore,
                onDidReceiveCrashMessage: ignore,
                onDidReceivePartMessage: ignore,
                onDidReceiveRolloutMessage: ignore,
                onDidReceiveStreamVersionMessage: ignore,
            }),
        );
    }

    public get forwarded(): number {
        return this.state.traffic.counts.forwarded;
    }
}

/** The third byte of an address stands for the data centre. */
function createCondition(ip: string): PeerMessage["condition"] {
    return { dataCentre: `dc-${ip.split(".")[2]}`, processorShare: 1, utilization: 0, isWithdrawn: false };
}

/** A router of a build that doesn't relay. Returns the senders of its datagrams, and what is wrong with some of them. */
async function startFormerRouter(): Promise<{ readonly senders: Set<string>; readonly faults: string[] }> {
    const senders = new Set<string>();
    const faults: string[] = [];
    const socket: Socket = createSocket("udp4");
    socket.on("message", (data, { address }) => {
        senders.add(address);
        if (isRelayEnvelope(data)) {
            faults.push(`envelope from ${address}`);
        }
        decodePeerMessage(data).map(({ ip }) => (ip === address ? 0 : faults.push(`forwarded by ${address}`)));
    });
    await new Promise<void>(resolve => socket.bind(port, formerIp, resolve));
    const { state } = new Router(formerIp);
    const timer = setInterval(() => {
        const message = { ...state.createMessage(), canRelay: false };
        ips.forEach(ip => socket.send(encodePeerMessage(message), port, ip));
    }, 100);
    store.add({ dispose: () => (clearInterval(timer), socket.close()) });
    return { senders, faults };
}

function countReceived(receivers: readonly Router[], origin: Router): readonly number[] {
    return receivers.map(({ received }) => received.get(origin.ip) ?? 0);
}

// One relay stops while it forwards for two routers of the other data centre. Its data centre must go on receiving their messages, each
// with effect once, and a router of the former build must receive all messages from their origins.
it("messages are relayed within a data centre, also after a relay has stopped", { timeout: timeoutMs }, async () => {
    const former = await startFormerRouter();
    const routers = ips.map(ip => new Router(ip));
    const [first, second, stopped, ...others] = routers;
    await Promise.all(routers.map(({ exchange }) => exchange.start()));
    await vi.waitFor(
        () => expect(Math.min(...[stopped, ...others].map(router => router.forwarded))).toBeGreaterThan(3),
        {
            timeout: timeoutMs,
        },
    );
    expect(first.forwarded + second.forwarded).toBe(0);
    stopped.exchange.dispose();
    const before = Math.max(...countReceived(others, first), ...countReceived(others, second));
    const relayedBefore = first.state.traffic.counts.sentToRelays;
    await vi.waitFor(
        () => {
            const counts = [...countReceived(others, first), ...countReceived(others, second)];
            expect(Math.min(...counts)).toBeGreaterThan(before + 20);
        },
        { timeout: timeoutMs },
    );
    expect(first.state.traffic.counts.sentToRelays).toBeGreaterThan(relayedBefore);
    expect({
        repeated: routers.map(({ repeated }) => repeated),
        senders: [...former.senders].sort((a, b) => a.localeCompare(b)),
        faults: former.faults,
    }).toMatchInlineSnapshot(`
      {
        "faults": [],
        "repeated": [
          0,
          0,
          0,
          0,
          0,
          0,
        ],
        "senders": [
          "127.98.1.1",
          "127.98.1.2",
          "127.98.2.1",
          "127.98.2.2",
          "127.98.2.3",
          "127.98.2.4",
        ],
      }
    `);
});

// A repeated or forged envelope must not be multiplied within a data centre, nor reach another one.
it("a relay forwards each message once, within its data centre, and only for its origin", () => {
    const { state } = new Router(ips[2]);
    [ips[1], ips[3], ips[4]].forEach(ip => state.applyMessage(new Router(ip).state.createMessage()));
    const origin = new Router(ips[0]).state;
    const [data, later] = [encodePeerMessage(origin.createMessage()), encodePeerMessage(origin.createMessage())];
    const sent: string[] = [];
    const relay = new MessageRelay({
        state,
        isRelaying: () => false,
        send: (ip, forwarded) => sent.push(`${ip} ${Buffer.from(forwarded).equals(data) ? "as encoded" : "changed"}`),
    });
    const results = [
        [encodeRelayEnvelope(data), ips[0]],
        [encodeRelayEnvelope(data), ips[0]],
        [encodeRelayEnvelope(later), ips[1]],
        [encodeRelayEnvelope(later).subarray(0, -1), ips[0]],
    ] as const;
    const faults = results.map(([envelope, ip]) =>
        relay.handleEnvelope(envelope, ip).match(
            () => "none",
            error => error.message,
        ),
    );
    expect({ faults, sent }).toMatchInlineSnapshot(`
      {
        "faults": [
          "none",
          "none",
          "envelope was not sent by the origin of its message",
          "envelope is not valid MessagePack",
        ],
        "sent": [
          "127.98.2.2 as encoded",
          "127.98.2.3 as encoded",
        ],
      }
    `);
});
