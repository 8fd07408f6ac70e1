import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createPromptHeaders, waitUntil } from "../gatewayFixture.js";
import { StreamFixture, type CallerStream } from "./streamFixture.js";

const fixture = { current: new StreamFixture() };
const streamCount = 12;

beforeEach(() => {
    fixture.current = new StreamFixture();
});

afterEach(() => fixture.current.dispose());

/** Sends streams; one target of each version disconnects once after some events. */
async function sendDisconnected(): Promise<readonly CallerStream[]> {
    const first = fixture.current.targets.filter(({ instanceId }) => /-[03]$/.test(instanceId));
    first.forEach(target => target.scripts.push("break-off"));
    const streams: CallerStream[] = [];
    for (let index = 0; index < streamCount; index++) {
        const id = `s${index}`;
        const headers = createPromptHeaders(id, { "x-lynxarch-prefix-hash": `${id}:1000` });
        streams.push({ ids: [id], responses: [await fixture.current.send({ path: "/plan/x", headers })] });
    }
    return streams;
}

describe("a stream whose target disconnects", () => {
    // Targets of two versions write texts that don't fit together, and nothing in the response shows it.
    it("is continued at a target of the version that began it", async () => {
        await fixture.current.startFleet({ v1: 3, v2: 3 }, 1);
        expect(fixture.current.describeStreams(await sendDisconnected())).toEqual({
            mixed: 0,
            complete: streamCount,
            refusals: [],
        });
    });
});

describe("a stream whose target sends too many events at once", () => {
    // The first piece of the response is both the first output and the reason to end the attempt.
    it("is not continued at another version", async () => {
        await fixture.current.startFleet({ v1: 1, v2: 3 }, 1);
        fixture.current.targets.forEach(target => (target.usual = "burst"));
        const streams: CallerStream[] = [];
        for (let index = 0; index < streamCount; index++) {
            const id = `s${index}`;
            const headers = createPromptHeaders(id, { "x-lynxarch-prefix-hash": `${id}:1000` });
            streams.push({ ids: [id], responses: [await fixture.current.send({ path: "/plan/x", headers })] });
        }
        expect(fixture.current.describeStreams(streams).mixed).toBe(0);
    });
});

describe("a stream that its caller resumes", () => {
    // The router that receives the resumed request did not serve the stream and selects a target of any version.
    it("is continued at the version that began it by a router that did not serve it", async () => {
        await fixture.current.startFleet({ v1: 2, v2: 2 }, 3);
        const streams = await fixture.current.openStreams(streamCount, 0);
        const resumed = await fixture.current.resumeStreams(streams, 1);
        expect(fixture.current.describeStreams(resumed)).toEqual({ mixed: 0, complete: streamCount, refusals: [] });
    });

    // The only router that served the stream has ended when its caller resumes it.
    it("is continued at the version that began it after the router that served it has ended", async () => {
        await fixture.current.startFleet({ v1: 2, v2: 2 }, 3);
        const streams = await fixture.current.openStreams(streamCount, 0);
        fixture.current.routers[0].daemon.dispose();
        const resumed = await fixture.current.resumeStreams(streams, 1);
        expect(fixture.current.describeStreams(resumed)).toEqual({ mixed: 0, complete: streamCount, refusals: [] });
    });

    // The router that resumes the stream the first time is another one than the router that resumes it the second time.
    it("is continued at the version that began it when it is resumed twice", async () => {
        await fixture.current.startFleet({ v1: 2, v2: 2 }, 3);
        const streams = await fixture.current.openStreams(streamCount, 0);
        fixture.current.targets.forEach(target => (target.usual = "break-off"));
        const broken = await fixture.current.resumeStreams(streams, 1);
        fixture.current.targets.forEach(target => (target.usual = "serve"));
        const resumed = await fixture.current.resumeStreams(broken, 2);
        expect(fixture.current.describeStreams(resumed).mixed).toBe(0);
    });

    // No router knows the stream any more; any version could be another one than the one that began it.
    it("is refused when all routers have restarted since", async () => {
        await fixture.current.startFleet({ v1: 2, v2: 2 }, 2);
        const streams = await fixture.current.openStreams(streamCount, 0);
        fixture.current.routers.splice(0).forEach(({ daemon }) => daemon.dispose());
        await fixture.current.addRouters(2);
        const resumed = await fixture.current.resumeStreams(streams, 1);
        expect(fixture.current.describeStreams(resumed)).toEqual({
            mixed: 0,
            complete: 0,
            refusals: Array.from(streams, () => "stream-version-unknown"),
        });
    });

    // The targets of the version have left. The stream would be continued at a version that does not fit.
    it("is refused at once when no target has the version that began it", async () => {
        await fixture.current.startFleet({ v1: 2 }, 2);
        const streams = await fixture.current.openStreams(streamCount, 0);
        const former = fixture.current.targets.map(({ instanceId }) => instanceId);
        await fixture.current.addVersion("v2", 2);
        former.forEach(id => fixture.current.store.write("keyed.servers", id, undefined));
        await waitUntil(async () => {
            const { refusals } = fixture.current.describeStreams(await fixture.current.resumeStreams(streams, 1));
            return refusals.includes("stream-version-gone");
        });
        const [resumed] = await fixture.current.resumeStreams(streams.slice(0, 1), 1);
        const { status, headers } = resumed.responses[1];
        expect({ status, retryAfter: headers["retry-after"], ...fixture.current.describeStreams([resumed]) }).toEqual({
            status: 503,
            retryAfter: undefined,
            mixed: 0,
            complete: 0,
            refusals: ["stream-version-gone"],
        });
    });

    // A target that starts again under its id keeps its place in the routers' view, although its version is another one now.
    it("is not continued at a target that has restarted under its id at another version", async () => {
        await fixture.current.startFleet({ v1: 1, v2: 1 }, 2);
        const [restarted] = fixture.current.targets;
        const streams = (await fixture.current.openStreams(streamCount, 0)).filter(({ ids }) =>
            restarted.ran.some(({ id }) => id === ids[0]),
        );
        fixture.current.addEntry(restarted, "engines", { version: "v2", born: 1_700_000_001_000 });
        await waitUntil(() => fixture.current.hasVersion(1, restarted.instanceId, "v2"));
        const resumed = await fixture.current.resumeStreams(streams, 1);
        expect(streams.length).toBeGreaterThan(0);
        expect(fixture.current.describeStreams(resumed)).toEqual({
            mixed: 0,
            complete: 0,
            refusals: Array.from(streams, () => "stream-version-gone"),
        });
    });

    // Streams of a service with a single version are not recorded at other routers.
    it("is continued at the version that began it if the second version started later", async () => {
        await fixture.current.startFleet({ v1: 2 }, 3);
        const streams = await fixture.current.openStreams(streamCount, 0);
        await fixture.current.addVersion("v2", 4);
        const added = fixture.current.targets[5].instanceId;
        for (const router of [0, 1, 2]) {
            await waitUntil(() => fixture.current.hasVersion(router, added, "v2"));
        }
        fixture.current.routers[0].daemon.dispose();
        const resumed = await fixture.current.resumeStreams(streams, 1);
        expect(fixture.current.describeStreams(resumed)).toEqual({ mixed: 0, complete: streamCount, refusals: [] });
    });
});

describe("a stream that its caller resumes without naming the request that began it", () => {
    it("is continued if there is one version, and refused if there are several", async () => {
        await fixture.current.startFleet({ v1: 2 }, 1);
        const streams = await fixture.current.openStreams(2, 0);
        const alone = await fixture.current.resumeStream(streams[0], 0, false);
        await fixture.current.addVersion("v2", 1);
        const added = fixture.current.targets[2].instanceId;
        await waitUntil(() => fixture.current.hasVersion(0, added, "v2"));
        const refused = await fixture.current.resumeStream(streams[1], 0, false);
        expect(fixture.current.describeStreams([alone, refused])).toEqual({
            mixed: 0,
            complete: 1,
            refusals: ["stream-version-unknown"],
        });
    });
});
