import { describe, expect, it } from "vitest";
import { ManualClock } from "../../../src/base/clock.js";
import { loadTtlMs, memberTtlMs, PeerDirectory } from "../../../src/gateway/peers/peerDirectory.js";
import { decodePeerMessage, encodePeerMessage, type PeerMessage } from "../../../src/gateway/peers/peerMessage.js";

const own = { routerId: "router-1", ip: "10.0.0.1" };

function createMessage(changes: Partial<PeerMessage> = {}): PeerMessage {
    return {
        routerId: "router-2",
        incarnation: 1,
        sequence: 1,
        ip: "10.0.0.2",
        periodMs: 100,
        targets: [{ targetHash: 41, waitingTokens: 500, running: 2, writtenTokens: 300 }],
        coveredMs: 4_000,
        accounts: new Map([["north", { asked: 10, served: 5, recentlyServed: 2 }]]),
        reads: [],
        peers: [],
        leaving: [],
        condition: { dataCentre: "dc-a", processorShare: 0.243, utilization: 0.5, isWithdrawn: true },
        ...changes,
    };
}

describe("what is known of peers", () => {
    // VMs are replaced all day. A router that was only ever named by others, and never heard, must be forgotten as well, or
    // messages go to thousands of addresses where nobody is.
    it("forgets routers that were named and never heard", () => {
        const clock = new ManualClock();
        const directory = new PeerDirectory(own, ["10.0.0.9"], clock);
        directory.apply(createMessage({ peers: [{ routerId: "router-3", ip: "10.0.0.3" }] }));
        const before = directory.listAddresses();
        clock.advance(memberTtlMs + 1);
        expect([before, directory.listAddresses()]).toEqual([["10.0.0.2", "10.0.0.3", "10.0.0.9"], ["10.0.0.9"]]);
    });

    // A VM's address is given to the next one. Forgotten with the earlier router, datagrams of the later one were dropped as unknown.
    it("keeps an address that a later router uses when the earlier one is forgotten", () => {
        const clock = new ManualClock();
        const directory = new PeerDirectory(own, [], clock);
        directory.apply(createMessage({ routerId: "earlier" }));
        clock.advance(memberTtlMs);
        directory.apply(createMessage({ routerId: "later" }));
        clock.advance(1);
        expect([directory.routers.routerIds, directory.findRouter("10.0.0.2")]).toEqual([
            ["router-1", "later"],
            "later",
        ]);
    });

    // What happened since a peer spoke is estimated from the age of its word; taken for new, accounts that it let in since would
    // be let in once more everywhere else.
    it("tells how old accounts' sums are", () => {
        const clock = new ManualClock();
        const directory = new PeerDirectory(own, [], clock);
        directory.apply(createMessage());
        clock.advance(300);
        directory.apply(createMessage({ routerId: "router-3" }));
        clock.advance(50);
        expect(directory.accountReports.map(router => router.ageMs)).toEqual([350, 50]);
    });

    // Datagrams overtake each other, and a router that was restarted begins to count anew.
    it("takes no message that is older than the last one, and a restarted router's first one", () => {
        const directory = new PeerDirectory(own, [], new ManualClock());
        const taken = [
            createMessage({ sequence: 5 }),
            createMessage({ sequence: 4 }),
            createMessage({ sequence: 5 }),
            createMessage({ incarnation: 2, sequence: 1 }),
            createMessage({ incarnation: 1, sequence: 9 }),
            createMessage({ routerId: own.routerId, sequence: 9 }),
        ].map(message => directory.apply(message));
        expect(taken).toEqual([true, false, false, true, false, false]);
    });

    it("counts on loads only while they are fresh, and on members for longer", () => {
        const clock = new ManualClock();
        const directory = new PeerDirectory(own, ["10.0.0.1", "10.0.0.2", "10.0.0.7"], clock);
        directory.apply(createMessage());
        const fresh = directory.computeLoads().get(41)?.running;
        const early = directory.routers.isSettled;
        clock.advance(loadTtlMs + 1_000);
        const { routerIds, unheard, isSettled } = directory.routers;
        expect({
            fresh,
            early,
            later: directory.computeLoads().size,
            routerIds,
            unheard,
            isSettled,
        }).toMatchInlineSnapshot(`
          {
            "early": false,
            "fresh": 2,
            "isSettled": true,
            "later": 0,
            "routerIds": [
              "router-1",
              "router-2",
            ],
            "unheard": 1,
          }
        `);
    });

    // A fleet of 27 sends a round each two seconds. Left out as old after a bit more than one, two thirds of what accounts had got
    // were missing from the sums, and one that had had three times its share was let in before all others.
    it("counts on what it heard for some rounds, however rare they are", () => {
        const clock = new ManualClock();
        const directory = new PeerDirectory(own, [], clock);
        directory.apply(createMessage({ periodMs: 2_000 }));
        clock.advance(6_000);
        const after3 = directory.accountReports.length;
        clock.advance(3_000);
        expect([after3, directory.accountReports.length]).toEqual([1, 0]);
    });

    // Read with each request, the lists are kept between changes. One that outlived a change would name routers that are gone.
    it("follows each message, the seeds and the time", () => {
        const clock = new ManualClock();
        const directory = new PeerDirectory(own, ["10.0.0.2", "10.0.0.9"], clock);
        const describeAll = (): string => {
            const { routerIds, unheard, isSettled } = directory.routers;
            const utilizations = [...directory.conditions].map(([id, { utilization }]) => `${id} at ${utilization}`);
            const uses = directory.accountReports.map(({ accounts, ageMs }) => `${accounts.size} of ${ageMs} ms`);
            return [routerIds.join(" "), unheard, isSettled, ...utilizations, ...uses].join(", ");
        };
        const condition = { dataCentre: "dc-a", processorShare: 1, utilization: 0.75, isWithdrawn: false };
        const seen = [describeAll()];
        const apply = (changes: Partial<PeerMessage>): void => {
            directory.apply(createMessage(changes));
            seen.push(describeAll());
        };
        const advance = (ms: number): void => {
            clock.advance(ms);
            seen.push(describeAll());
        };
        apply({});
        advance(1_000);
        apply({ sequence: 2, condition, accounts: new Map() });
        apply({ routerId: "router-3", ip: "10.0.0.9" });
        directory.setSeeds(["10.0.0.7", "10.0.0.8"]);
        advance(1_200);
        apply({ sequence: 3, ip: "10.0.0.7" });
        advance(1);
        advance(memberTtlMs);
        advance(1);
        apply({ routerId: "router-4", ip: "10.0.0.8" });
        expect(seen).toMatchInlineSnapshot(`
          [
            "router-1, 2, false",
            "router-1 router-2, 1, false, router-2 at 0.5, 1 of 0 ms",
            "router-1 router-2, 1, false, router-2 at 0.5, 1 of 1000 ms",
            "router-1 router-2, 1, false, router-2 at 0.75, 0 of 0 ms",
            "router-1 router-2 router-3, 0, false, router-2 at 0.75, router-3 at 0.5, 0 of 0 ms, 1 of 0 ms",
            "router-1 router-2 router-3, 2, true, router-2 at 0.75, router-3 at 0.5, 0 of 1200 ms, 1 of 1200 ms",
            "router-1 router-2 router-3, 1, true, router-2 at 0.5, router-3 at 0.5, 1 of 0 ms, 1 of 1200 ms",
            "router-1 router-2 router-3, 1, true, router-2 at 0.5, 1 of 1 ms",
            "router-1, 2, true",
            "router-1, 2, true",
            "router-1 router-4, 1, true, router-4 at 0.5, 1 of 0 ms",
          ]
        `);
    });

    it("survives the wire, and other bytes are an error", () => {
        const message = createMessage({ reads: [{ targetHash: 41, partId: "aa", tokens: 7 }] });
        expect(decodePeerMessage(encodePeerMessage(message))._unsafeUnwrap()).toEqual(message);
        const whole = encodePeerMessage(message);
        const faults = ["", "{}", '{"id":"a","targets":[[1,2,3]]}', "\u0000"].map(text => Buffer.from(text));
        const isError = [...faults, whole.subarray(0, -1)].map(data => decodePeerMessage(data).isErr());
        expect(isError).toEqual([true, true, true, true, true]);
    });
});
