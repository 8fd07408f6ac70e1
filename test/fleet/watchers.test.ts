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

/** Lets pending work go on until the condition holds. */
async function waitUntil(condition: () => boolean): Promise<void> {
    for (let round = 0; round < 2_000; round++) {
        if (condition()) {
            return;
        }
        await new Promise(resolve => setImmediate(resolve));
    }
    throw new Error("the condition never held");
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
    it("runs on a peer's document while the log is down and never goes back", async () => {
        // A daemon restarts while the log is down and would refuse every caller without a document. A peer gives it
        // one; an older one from a slower peer comes after it. When the log is back, a newer change counts.
        const fleet = buildFleet();
        const peer = startDocumentWatcher(fleet, 1);
        appendChange(fleet, -1, 1);
        appendChange(fleet, 0, 2);
        await waitUntil(() => peer.current?.offset === 1);
        fleet.log.isDown = true;
        const restarted = startDocumentWatcher(fleet, 2);
        const seen: number[] = [];
        restarted.onDidAccept(accepted => seen.push(accepted.offset));
        restarted.applyPeerDocument(peer.buildPeerDocument()!);
        restarted.applyPeerDocument({ offset: 0, document: buildDocument(1) });
        fleet.log.isDown = false;
        appendChange(fleet, 1, 3);
        await waitUntil(() => restarted.current?.offset === 2);
        expect(seen).toEqual([1, 2]);
        expect(restarted.current?.document.clientAccounts.club.weight).toBe(3);
    });

    it("keeps a document alive that is older than the log's retention", async () => {
        // Nobody changes the document for weeks, so its change falls out of the log. A daemon that restarts then would
        // find an empty stream and serve nobody. The daemons write snapshots in time, and few of them.
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
            const late = new DocumentState();
            late.applyPage(fleet.streams.read(`document-${environment}`, 0, 1_000));
            expect([step, late.basis, late.accepted?.document.clientAccounts.club.weight]).toEqual([step, 0, 7]);
        }
        const { firstOffset, endOffset } = fleet.streams.read(`document-${environment}`, 0, 1);
        expect(firstOffset).toBeGreaterThan(0);
        // Due every quarter of the retention: 20 times in this span; five daemons must not write five times as many.
        expect(endOffset - 1).toBeLessThan(40);
    });
});

describe("Registrar", () => {
    it("registers once known whatever happens to the answers, and renews in time", async () => {
        const fleet = buildFleet();
        fleet.log.appendFaults = ["down", "lose-answer"];
        const { registrar } = startRegistrar(fleet, 1);
        await waitUntil(() => registrar.registration !== undefined && registrar.isConfirmedWithin(10_000));
        await waitUntil(() => fleet.log.appendFaults.length === 0);
        fleet.clock.advance(retentionMs / 10);
        await waitUntil(() => listRoster(fleet).length >= 3);
        await waitUntil(() => registrar.isConfirmedWithin(1_000));
        expect(registrar.registration).toBe(0);
        // Whether the second record says that it renews depends on whether the first was read before it; both renew.
        const records = listRoster(fleet);
        expect(records.map(record => record.split(" ")[1])).toEqual(["register", "register", "register"]);
        expect([records[0], records[2]]).toEqual(["0 register new", "2 register 0"]);
    });

    it("loses its lease when the log is silent or another daemon evicts it, and registers anew", async () => {
        // A home of keys is cut off from the log; the others evict it and its keys get another home. If it went on
        // serving its range, one key could run at both. Its confirmation must run out without any message.
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

    it("stays out when a newer process has its name", async () => {
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

    it("leaves the roster though the answer is lost", async () => {
        const fleet = buildFleet();
        const { registrar, watcher } = startRegistrar(fleet, 1);
        await waitUntil(() => registrar.registration === 0);
        fleet.log.appendFaults = ["down", "lose-answer"];
        const left = await registrar.removeSelf(new CancellationTokenSource().token);
        expect(left.isOk()).toBe(true);
        await waitUntil(() => watcher.members.size === 0);
        expect(registrar.isConfirmedWithin(10_000)).toBe(false);
    });
});
