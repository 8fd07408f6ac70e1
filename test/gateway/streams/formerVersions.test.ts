import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { ManualClock } from "../../../src/base/clock.js";
import { createShortConfiguration, StreamFixture } from "./streamFixture.js";

const fixture = { current: new StreamFixture(), clock: new ManualClock() };
const streamCount = 4;
/** Far more than the tests take on a busy machine; they outlast it by the fake clock of the routers; milliseconds. */
const shortTimeoutMs = 8_000;
const lifetimeMs = 6 * shortTimeoutMs;

beforeEach(() => {
    fixture.clock = new ManualClock();
    fixture.current = new StreamFixture(fixture.clock);
});

afterEach(() => fixture.current.dispose());

/** Advances the routers' clock, and waits until they know each other and have read the targets' records since. */
async function advanceTime(ms: number): Promise<void> {
    fixture.clock.advance(ms);
    await fixture.current.waitForPeers();
    await fixture.current.waitForRecords();
}

function createRefusals(code: string): object {
    return { mixed: 0, complete: 0, refusals: Array.from({ length: streamCount }, () => code) };
}

const uptimes = [
    { name: "less time than a stream can last", ms: 0 },
    { name: "more time than a stream can last", ms: lifetimeMs + 200 },
];

describe.each(uptimes)("a stream whose version has left, at routers that have been up for $name", ({ ms }) => {
    // Only the versions present at the resumption were considered: the stream went on at the new version under status 200.
    it("is refused without the id of the request that began it", async () => {
        fixture.current.deadlineMs = shortTimeoutMs;
        await fixture.current.startFleet({ v1: 2 }, 2, createShortConfiguration(shortTimeoutMs));
        await advanceTime(ms);
        const streams = await fixture.current.openStreams(streamCount, 0);
        await fixture.current.promoteVersion("v1", "v2");
        const resumed = await Promise.all(
            streams.map((stream, index) => fixture.current.resumeStream(stream, index % 2, false)),
        );
        expect(fixture.current.describeStreams(resumed)).toEqual(createRefusals("stream-version-unknown"));
    });

    it("is refused with it", async () => {
        fixture.current.deadlineMs = lifetimeMs;
        await fixture.current.startFleet({ v1: 2 }, 2, createShortConfiguration(shortTimeoutMs));
        await advanceTime(ms);
        const streams = await fixture.current.openStreams(streamCount, 0);
        await fixture.current.promoteVersion("v1", "v2");
        const resumed = await fixture.current.resumeStreams(streams, 1);
        expect(fixture.current.describeStreams(resumed)).toEqual(createRefusals("stream-version-gone"));
    });
});

describe("a stream that is resumed without the id of the request that began it", () => {
    // A router that has started since sees a single version; only the others know the former one.
    it("is refused by a router that has started after its version has left", async () => {
        await fixture.current.startFleet({ v1: 2 }, 2);
        const streams = await fixture.current.openStreams(streamCount, 0);
        await fixture.current.promoteVersion("v1", "v2");
        await fixture.current.addRouters(1);
        const resumed = await Promise.all(streams.map(stream => fixture.current.resumeStream(stream, 2, false)));
        expect(fixture.current.describeStreams(resumed)).toEqual(createRefusals("stream-version-unknown"));
    });

    it.each(uptimes)("goes on at the only version after $name", async ({ ms }) => {
        await fixture.current.startFleet({ v1: 2 }, 2, createShortConfiguration(shortTimeoutMs));
        await advanceTime(ms);
        fixture.current.deadlineMs = lifetimeMs;
        const streams = await fixture.current.openStreams(streamCount, 0);
        const resumed = await Promise.all(streams.map(stream => fixture.current.resumeStream(stream, 1, false)));
        expect(fixture.current.describeStreams(resumed)).toEqual({ mixed: 0, complete: streamCount, refusals: [] });
    });
});

describe("a stream that is resumed several times", () => {
    // Each resumption has a deadline of its own, so that the stream lasts for longer than two timeouts.
    it.each([true, false])("is not continued at another version after two timeouts (named: %s)", async isNamed => {
        fixture.current.deadlineMs = shortTimeoutMs;
        await fixture.current.startFleet({ v1: 2 }, 2, createShortConfiguration(shortTimeoutMs));
        const streams = await fixture.current.openStreams(streamCount, 0);
        fixture.current.targets.forEach(target => (target.usual = "break-off"));
        const broken = await fixture.current.resumeStreams(streams, 1);
        await fixture.current.promoteVersion("v1", "v2");
        await advanceTime(2 * shortTimeoutMs + 300);
        const resumed = await Promise.all(broken.map(stream => fixture.current.resumeStream(stream, 0, isNamed)));
        expect(fixture.current.describeStreams(resumed)).toEqual(createRefusals("stream-version-unknown"));
    });
});
