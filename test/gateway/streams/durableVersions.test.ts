import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { waitUntil } from "../gatewayFixture.js";
import { StreamFixture, versionTopic, type CallerStream } from "./streamFixture.js";

const fixture = { current: new StreamFixture() };
const streamCount = 4;
const minuteMs = 60_000;
const continued = { mixed: 0, complete: 2 * streamCount, refusals: [] };

beforeEach(() => {
    fixture.current = new StreamFixture();
});

afterEach(() => fixture.current.dispose());

/** Resumes each stream with and without the id of the request that began it. */
async function resumeBothWays(streams: readonly CallerStream[]): Promise<object> {
    const named = await fixture.current.resumeStreams(streams, 1);
    const unnamed = await fixture.current.resumeStreams(streams, 0, false);
    return fixture.current.describeStreams([...named, ...unnamed]);
}

function createRefusals(code: string): object {
    return { mixed: 0, complete: 0, refusals: Array.from({ length: 2 * streamCount }, () => code) };
}

function toTime(agoMs: number): string {
    return new Date(Date.now() - agoMs).toISOString();
}

describe("a stream that is resumed after all routers were killed", () => {
    // No router knew which versions had served before: all resumptions were refused for as long as a stream can last.
    it("goes on while a single version serves", async () => {
        await fixture.current.startFleet({ v1: 2 }, 2);
        const streams = await fixture.current.openStreams(streamCount, 0);
        await fixture.current.waitForRecord({ v1: "present" });
        await fixture.current.startRoutersAgain();
        expect(await resumeBothWays(streams)).toEqual(continued);
    });

    it("is refused while two versions serve", async () => {
        await fixture.current.startFleet({ v1: 2, v2: 2 }, 2);
        const streams = await fixture.current.openStreams(streamCount, 0);
        await fixture.current.waitForRecord({ v1: "present", v2: "present" });
        await fixture.current.startRoutersAgain();
        expect(await resumeBothWays(streams)).toEqual(createRefusals("stream-version-unknown"));
    });

    it("is refused if its version has just left", async () => {
        await fixture.current.startFleet({ v1: 2 }, 2);
        const streams = await fixture.current.openStreams(streamCount, 0);
        await fixture.current.promoteVersion("v1", "v2");
        await fixture.current.waitForRecord({ v1: "left", v2: "present" });
        await fixture.current.startRoutersAgain();
        expect(await resumeBothWays(streams)).toEqual(createRefusals("stream-version-unknown"));
    });

    // The record still shows the version as present, and nobody has seen it leave.
    it("is refused if its version left while no router was up", async () => {
        await fixture.current.startFleet({ v1: 2 }, 2);
        const streams = await fixture.current.openStreams(streamCount, 0);
        await fixture.current.waitForRecord({ v1: "present" });
        const count = fixture.current.endRouters();
        await fixture.current.promoteVersion("v1", "v2");
        await fixture.current.addRouters(count);
        expect(await resumeBothWays(streams)).toEqual(createRefusals("stream-version-unknown"));
        await fixture.current.waitForRecord({ v1: "left", v2: "present" });
    });

    // A topic that can't be read is not an empty one: versions that have left may be recorded there.
    it("is refused while the history can't be read, and goes on once it can", async () => {
        await fixture.current.startFleet({ v1: 2 }, 2);
        const streams = await fixture.current.openStreams(streamCount, 0);
        await fixture.current.waitForRecord({ v1: "present" });
        const count = fixture.current.endRouters();
        fixture.current.store.failingTopics.add(versionTopic);
        await fixture.current.addRouters(count);
        expect(await resumeBothWays(streams)).toEqual(createRefusals("stream-version-unknown"));
        fixture.current.store.failingTopics.clear();
        await waitUntil(async () => {
            const resumed = await fixture.current.resumeStreams(streams, 1);
            return fixture.current.describeStreams(resumed).complete === streamCount;
        });
    });
});

/** Starts the fleet, then restarts all routers with this record in place of their own. */
async function startAgainWithRecord(record: object | string): Promise<readonly CallerStream[]> {
    await fixture.current.startFleet({ v1: 2 }, 2);
    const streams = await fixture.current.openStreams(streamCount, 0);
    await fixture.current.waitForRecord({ v1: "present" });
    const count = fixture.current.endRouters();
    fixture.current.store.write(versionTopic, "engines", record);
    await fixture.current.addRouters(count);
    return streams;
}

describe("a record of versions", () => {
    it("lets streams go on if other versions left longer ago than a stream can last", async () => {
        const versions = [{ version: "v0", last_seen: toTime(2 * minuteMs) }, { version: "v1" }];
        const streams = await startAgainWithRecord({ observed_from: toTime(60 * minuteMs), versions });
        expect(await resumeBothWays(streams)).toEqual(continued);
    });

    it("does not cover the time before it begins", async () => {
        const streams = await startAgainWithRecord({ observed_from: toTime(5_000), versions: [{ version: "v1" }] });
        expect(await resumeBothWays(streams)).toEqual(createRefusals("stream-version-unknown"));
    });

    it.each(["{", { versions: [{ version: "v1" }] }, { observed_from: "yesterday", versions: [] }])(
        "counts as absent if it can't be decoded: %j",
        async record => {
            const streams = await startAgainWithRecord(record);
            expect(await resumeBothWays(streams)).toEqual(createRefusals("stream-version-unknown"));
        },
    );

    it("shows a version that comes back after it had left as present", async () => {
        await fixture.current.startFleet({ v1: 1 }, 2);
        await fixture.current.promoteVersion("v1", "v2");
        await fixture.current.waitForRecord({ v1: "left", v2: "present" });
        await fixture.current.addVersion("v1", 1);
        await fixture.current.waitForRecord({ v1: "present", v2: "present" });
    });

    it("is written again after the store was restored from an older copy", async () => {
        await fixture.current.startFleet({ v1: 1 }, 2);
        await fixture.current.waitForRecord({ v1: "present" });
        await fixture.current.addVersion("v2", 1);
        await fixture.current.waitForRecord({ v1: "present", v2: "present" });
        fixture.current.store.removeLast(versionTopic, 1);
        await fixture.current.waitForRecord({ v1: "present", v2: "present" });
    });

    // Calls to the store are priced, and each router follows the targets by itself.
    it("costs a few calls over the whole fleet for each change", async () => {
        await fixture.current.startFleet({ v1: 1 }, 4);
        await fixture.current.waitForRecord({ v1: "present" });
        await new Promise(resolve => setTimeout(resolve, 3_500));
        const before = fixture.current.store.countCalls(versionTopic);
        await fixture.current.addVersion("v2", 3);
        await fixture.current.waitForRecord({ v1: "present", v2: "present" });
        await new Promise(resolve => setTimeout(resolve, 3_500));
        const calls = fixture.current.store.countCalls(versionTopic) - before;
        expect([calls >= 2, calls <= 4]).toEqual([true, true]);
    });
});
