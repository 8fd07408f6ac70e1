import { expect, it } from "vitest";
import { ManualClock } from "../../../src/base/clock.js";
import { PeerState } from "../../../src/gateway/peers/peerState.js";

const leavingCount = 250;
const rounds = 3;

// A large fleet is replaced: more targets leave than one message names, and those beyond would never be reported.
it("reports all leaving targets within some rounds", () => {
    const leaving = Array.from({ length: leavingCount }, (...[, targetHash]) => ({ targetHash, startedAtMs: 1 }));
    const state = new PeerState({
        own: { routerId: "router-1", ip: "10.0.0.1" },
        seedIps: [],
        clock: new ManualClock(),
        listOwnLoads: () => [],
        listOwnAccounts: () => ({ coveredMs: 0, accounts: new Map() }),
        listLeaving: () => leaving,
        getCondition: () => ({ dataCentre: "dc-a", processorShare: 1, utilization: 0, isWithdrawn: false }),
        onDidUpdatePeerLoads: () => undefined,
        onDidReceiveMessage: () => undefined,
    });
    const named = Array.from({ length: rounds }, () => state.createMessage().leaving.map(entry => entry.targetHash));
    expect(named.map(({ length }) => length)).toEqual([100, 100, 100]);
    expect(new Set(named.flat()).size).toBe(leavingCount);
});
