import { afterEach, describe, expect, it } from "vitest";
import { CancellationTokenSource } from "../../src/base/cancellation.js";
import { ManualClock } from "../../src/base/clock.js";
import type { Disposable } from "../../src/base/lifecycle.js";
import { SeededRandom } from "../../src/base/random.js";
import { NoopEventRecorder } from "../../src/events/fleetEvent.js";
import { DocumentState } from "../../src/document/documentState.js";
import { DocumentWatcher } from "../../src/fleet/documentWatcher.js";
import { Registrar } from "../../src/fleet/registrar.js";
import { RosterWatcher } from "../../src/fleet/rosterWatcher.js";
import { buildDocument } from "../document/fixtures.js";
import { MemoryLogService } from "../fakes/platform/memoryLogService.js";
import { Streams } from "../fakes/platform/streams.js";

const retentionMs = 100_000;
const environment = "trial";
const disposables: Disposable[] = [];

afterEach(() => disposables.splice(0).forEach(disposable => disposable.dispose()));

/** Runs pending asynchronous work until the condition holds. */
async function waitUntil(condition: () => boolean): Promise<void> {
    for (let round = 0; round < 2_000; round++) {
        if (condition()) {
            return;
        }
        await new Promise(resolve => setImmediate(resolve));
    }
    throw new Error("condition not met within 2,000 rounds of the event loop");
}

function buildFleet(): { clock: ManualClock; streams: Streams; log: MemoryLogService } {
    const clock = new ManualClock();
    const streams = new Streams(() => clock.nowDate().getTime(), retentionMs);
    return { clock, streams, log: new MemoryLogService(streams) };
}

function buildOptions(fleet: ReturnType<typeof buildFleet>, seed: number) {
    const sleep = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
    const random = new SeededRandom(seed);
    return { environment, log: fleet.log, clock: fleet.clock, random, sleep, logRetentionMs: retentionMs };
}

function startDocumentWatcher(fleet: ReturnType<typeof buildFleet>, seed: number): DocumentWatcher {
    const watcher = new DocumentWatcher({ ...buildOptions(fleet, seed), recorder: new NoopEventRecorder() });
    disposables.push(watcher);
    watcher.start();
    return watcher;
}

function appendChange(fleet: ReturnType<typeof buildFleet>, basis: number, weight: number): number {
    const patch = [{ op: "replace", path: "", value: buildDocument(weight) }];
    const change = { type: "change", id: `c-${weight}`, basis, patch, author: "a" };
    return fleet.streams.append(`document-${environment}`, change).offset;
}

function startRegistrar(fleet: ReturnType<typeof buildFleet>, incarnation: number) {
    const options = buildOptions(fleet, incarnation);
    const watcher = new RosterWatcher(options);
    const entry = {
        daemonId: "agent-1",
        role: "agent" as const,
        incarnation,
        address: "127.0.0.1:1",
        dataCentre: "gt-a",
        vmId: "vm-1",
        services: ["chat"],
    };
    const registrar = new Registrar({ ...options, watcher, entry });
    disposables.push(watcher, registrar);
    watcher.start();
    registrar.start();
    return { watcher, registrar };
}

function listRoster(fleet: ReturnType<typeof buildFleet>): readonly string[] {
    return fleet.streams.read(`roster-${environment}`, 0, 100).records.map(record => {
        const value = record.value as { type: string; registration?: number };
        return `${record.offset} ${value.type} ${value.registration ?? "new"}`;
    });
}

describe("DocumentWatcher", () => {
    it("uses a peer's document while the log is unavailable and never reverts to an older one", async () => {
        // A daemon that restarts while the log is unavailable would refuse all requests without a document. It receives
        // one from a peer, then an older one from another peer. Once the log is available, a newer change applies.
        const fleet = buildFleet();
        const peer = startDocumentWatcher(fleet, 1);
        appendChange(fleet, -1, 1);
        appendChange(fleet, 0, 2);
        await waitUntil(() => peer.current?.offset === 1);
        fleet.log.isDown = true;
        const restarted = startDocumentWatcher(fleet, 2);
        const acceptedOffsets: number[] = [];
        restarted.onDidAccept(accepted => acceptedOffsets.push(accepted.offset));
        restarted.applyPeerDocument(peer.buildPeerDocument()!);
        restarted.applyPeerDocument({ offset: 0, document: buildDocument(1) });
        fleet.log.isDown = false;
        appendChange(fleet, 1, 3);
        await waitUntil(() => restarted.current?.offset === 2);
        expect(acceptedOffsets).toEqual([1, 2]);
        expect(restarted.current?.document.clientAccounts.club.weight).toBe(3);
    });

    it("preserves a document that is older than the log's retention", async () => {
        // If the document does not change for weeks, its change expires from the log. A daemon that restarts then would
        // read an empty stream and refuse all requests. The daemons write snapshots in time, and only a few.
        const fleet = buildFleet();
        fleet.log.appendDelayTurns = 5;
        const watchers = [1, 2, 3, 4, 5].map(seed => startDocumentWatcher(fleet, seed));
        appendChange(fleet, -1, 7);
        await waitUntil(() => watchers.every(watcher => watcher.current !== undefined));
        for (let step = 0; step < 500; step++) {
            fleet.clock.advance(1_000);
            const confirmed = watchers.map(watcher => watcher.lastConfirmedAtMs);
            await waitUntil(() => watchers.every((watcher, i) => watcher.lastConfirmedAtMs !== confirmed[i]));
            for (let turn = 0; turn < 2 * fleet.log.appendDelayTurns; turn++) {
                await new Promise(resolve => setImmediate(resolve));
            }
            const fresh = new DocumentState();
            fresh.applyPage(fleet.streams.read(`document-${environment}`, 0, 1_000));
            expect([step, fresh.basis, fresh.accepted?.document.clientAccounts.club.weight]).toEqual([step, 0, 7]);
        }
        const { firstOffset, endOffset } = fleet.streams.read(`document-${environment}`, 0, 1);
        expect(firstOffset).toBeGreaterThan(0);
        // A snapshot is due every quarter of the retention, 20 times in this test; five daemons must not write 100.
        expect(endOffset - 1).toBeLessThan(40);
    });
});

describe("Registrar", () => {
    it("keeps one registration though appends fail or replies are lost, and renews in time", async () => {
        const fleet = buildFleet();
        fleet.log.appendFaults = ["down", "lose-answer"];
        const { registrar } = startRegistrar(fleet, 1);
        await waitUntil(() => registrar.registration !== undefined && registrar.isConfirmedWithin(10_000));
        await waitUntil(() => fleet.log.appendFaults.length === 0);
        fleet.clock.advance(retentionMs / 10);
        await waitUntil(() => listRoster(fleet).length >= 3);
        await waitUntil(() => registrar.isConfirmedWithin(1_000));
        expect(registrar.registration).toBe(0);
        // The second record names the first registration only if that was read before; it is a renewal either way.
        const records = listRoster(fleet);
        expect(records.map(record => record.split(" ")[1])).toEqual(["register", "register", "register"]);
        expect([records[0], records[2]]).toEqual(["0 register new", "2 register 0"]);
    });

    it("loses its lease when the log is unavailable or another daemon evicts it, and registers again", async () => {
        // A key owner loses its connection to the log; the others evict it and its keys get another owner. If it kept
        // serving its range, one key could run at both. Its confirmation must expire without receiving any message.
        const fleet = buildFleet();
        const { registrar, watcher } = startRegistrar(fleet, 1);
        await waitUntil(() => registrar.isConfirmedWithin(10_000));
        fleet.log.isDown = true;
        await waitUntil(() => !watcher.isLogConnected);
        fleet.clock.advance(10_000);
        expect(registrar.isConfirmedWithin(10_000)).toBe(false);
        fleet.log.isDown = false;
        const token = new CancellationTokenSource().token;
        await registrar.removeMember(watcher.members.get("agent-1")!, token);
        await waitUntil(() => registrar.registration === 2);
        expect(listRoster(fleet)).toMatchInlineSnapshot(`
          [
            "0 register new",
            "1 leave 0",
            "2 register new",
          ]
        `);
    });

    it("does not register again when a newer process has registered with its id", async () => {
        const fleet = buildFleet();
        const old = startRegistrar(fleet, 1);
        await waitUntil(() => old.registrar.registration === 0);
        const successor = startRegistrar(fleet, 2);
        await waitUntil(() => successor.registrar.registration === 1 && old.registrar.isReplaced);
        fleet.clock.advance(retentionMs / 2);
        await waitUntil(() => old.registrar.lastConfirmedAtMs === undefined);
        await waitUntil(() => listRoster(fleet).length > 2);
        expect([old.registrar.registration, successor.registrar.registration]).toEqual([undefined, 1]);
        expect(listRoster(fleet).filter(record => record.endsWith("new"))).toEqual([
            "0 register new",
            "1 register new",
        ]);
    });

    it("leaves the roster although the reply is lost", async () => {
        const fleet = buildFleet();
        const { registrar, watcher } = startRegistrar(fleet, 1);
        await waitUntil(() => registrar.registration === 0);
        fleet.log.appendFaults = ["down", "lose-answer"];
        const removed = await registrar.removeSelf(new CancellationTokenSource().token);
        expect(removed.isOk()).toBe(true);
        await waitUntil(() => watcher.members.size === 0);
        expect(registrar.isConfirmedWithin(10_000)).toBe(false);
    });
});
