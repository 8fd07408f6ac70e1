import { okAsync } from "neverthrow";
import { afterEach, beforeEach, expect, it } from "vitest";
import { SystemClock } from "../../../src/base/clock.js";
import { DisposableStore } from "../../../src/base/lifecycle.js";
import { NoopLogger } from "../../../src/base/log.js";
import { SeededRandom } from "../../../src/base/random.js";
import { sleepOnTimer } from "../../../src/base/sleep.js";
import { setRuntimeTimer } from "../../../src/base/timers.js";
import { TargetVersions } from "../../../src/gateway/streams/targetVersions.js";
import { VersionRecorder } from "../../../src/gateway/streams/versionRecorder.js";
import type { VersionRecord, VersionRecords } from "../../../src/gateway/streams/versionRecords.js";
import { waitUntil } from "../gatewayFixture.js";

const service = "engines";
/** Several times the delay of a check after the start. */
const maxFirstWriteMs = 500;
const disposables = { current: new DisposableStore() };
const target = {
    id: "i-1",
    service,
    address: "10.0.0.1:1",
    dataCentre: "a",
    version: "v1",
    slots: 8,
    state: "ready",
    coldLeftMs: 0,
    startedAtMs: 0,
} as const;

beforeEach(() => {
    disposables.current = new DisposableStore();
});

afterEach(() => disposables.current.dispose());

function createRecord(lastSeen: Date | undefined): VersionRecord {
    return { service, observedFrom: new Date(0), isFirst: false, versions: [{ version: "v1", lastSeen }] };
}

// The record that this router read at its start shows what it observes now, although another router has changed it in between.
it("a record that another router has changed is read again before it counts as up to date", async () => {
    let stored = createRecord(undefined);
    let endOffset = 1;
    const records: VersionRecords = {
        read: () => okAsync({ records: [stored], unreadableServices: [], endOffset }),
        write: (record, atOffset) => {
            const isCurrent = atOffset === endOffset;
            stored = isCurrent ? record : stored;
            endOffset += isCurrent ? 1 : 0;
            return okAsync(isCurrent ? "written" : "superseded");
        },
    };
    const clock = new SystemClock();
    const versions = disposables.current.add(new TargetVersions(clock));
    versions.add(target);
    const recorder = disposables.current.add(
        new VersionRecorder({
            ownId: "a",
            peers: { routers: { ownId: "a", routerIds: ["a"], unheard: 0, isSettled: true } },
            directory: { versions },
            records,
            hasTargets: () => true,
            clock,
            random: new SeededRandom(1),
            setTimer: setRuntimeTimer,
            sleep: sleepOnTimer,
            logger: new NoopLogger(),
        }),
    );
    await recorder.load();
    stored = createRecord(new Date());
    endOffset += 1;
    versions.remove(target);
    versions.add(target);
    await waitUntil(() => stored.versions[0].lastSeen === undefined);
    expect(endOffset).toBe(3);
});

// A fleet that ended before its first records were written would count as one that never ran, and streams of a version that has left
// would go on at another one.
it.fails(
    "the first record is written before the router knows its peers, later ones after a start only once it does",
    async () => {
        const written: VersionRecord[] = [];
        const createRecorder = (known: readonly VersionRecord[]): { readonly load: () => Promise<void> } => {
            const clock = new SystemClock();
            const versions = disposables.current.add(new TargetVersions(clock));
            versions.add(target);
            return disposables.current.add(
                new VersionRecorder({
                    ownId: "a",
                    peers: { routers: { ownId: "a", routerIds: ["a"], unheard: 0, isSettled: false } },
                    directory: { versions },
                    records: {
                        read: () => okAsync({ records: known, unreadableServices: [], endOffset: known.length }),
                        write: record => {
                            written.push(record);
                            return okAsync("written");
                        },
                    },
                    hasTargets: () => true,
                    clock,
                    random: new SeededRandom(1),
                    setTimer: setRuntimeTimer,
                    sleep: sleepOnTimer,
                    logger: new NoopLogger(),
                }),
            );
        };
        await createRecorder([{ ...createRecord(undefined), service: "other" }]).load();
        await createRecorder([]).load();
        await new Promise(resolve => setTimeout(resolve, maxFirstWriteMs));
        expect(written.map(({ isFirst, versions }) => ({ isFirst, versions }))).toEqual([
            { isFirst: true, versions: [{ version: "v1", lastSeen: undefined }] },
        ]);
    },
);
