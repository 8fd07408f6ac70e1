import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createConfiguration, waitUntil } from "../gatewayFixture.js";
import { createShortConfiguration, StreamFixture } from "./streamFixture.js";

const fixture = { current: new StreamFixture() };
const streamCount = 4;
const timeoutMs = 800;
const lifetimeMs = 6 * timeoutMs;

beforeEach(() => {
    fixture.current = new StreamFixture();
});

afterEach(() => fixture.current.dispose());

function createRefusals(code: string): object {
    return { mixed: 0, complete: 0, refusals: Array.from({ length: streamCount }, () => code) };
}

describe("a stream whose service is no longer on the route", () => {
    const former = createShortConfiguration(timeoutMs);

    async function applyMovedRoute(): Promise<void> {
        const { routes, services } = former as Record<string, readonly { readonly name: string }[]>;
        const moved = routes.map(route => (route.name === "r-plan" ? { ...route, service: "engines-b" } : route));
        const added = { ...services[0], name: "engines-b" };
        fixture.current.store.write("keyed.op", "config", {
            ...createConfiguration(2),
            routes: moved,
            services: [...services, added],
        });
        await fixture.current.addVersion("b1", 2, "engines-b");
        for (const router of fixture.current.routers.keys()) {
            let attempts = 0;
            await waitUntil(async () => {
                const id = `new-${router}-${++attempts}`;
                await fixture.current.openStream(id, router);
                const [target] = fixture.current.targets.filter(({ ran }) => ran.some(request => request.id === id));
                return target?.instanceId.startsWith("b1") === true;
            });
        }
    }

    // It was opened as a new stream at the other service, with the last event id of the former one.
    it("is refused if its record is known", async () => {
        await fixture.current.startFleet({ v1: 2 }, 2, former);
        const streams = await fixture.current.openStreams(streamCount, 0);
        await applyMovedRoute();
        const resumed = await fixture.current.resumeStreams(streams, 0);
        expect(fixture.current.describeStreams(resumed)).toEqual(createRefusals("stream-version-gone"));
    });

    // Each of the services has a single version, and either of them can have begun the stream.
    it.each([true, false])("is refused if its record is lost (named: %s)", async isNamed => {
        await fixture.current.startFleet({ v1: 2 }, 2, former);
        // The routers know the versions of the stream's whole lifetime.
        await new Promise(resolve => setTimeout(resolve, lifetimeMs + 200));
        fixture.current.deadlineMs = lifetimeMs;
        const streams = await fixture.current.openStreams(streamCount, 0);
        await applyMovedRoute();
        const lost = streams.map(({ ids, responses }) => ({ ids: [`lost-${ids[0]}`, ...ids], responses }));
        const resumed = await Promise.all(lost.map(stream => fixture.current.resumeStream(stream, 1, isNamed)));
        expect(fixture.current.describeStreams(resumed)).toEqual(createRefusals("stream-version-unknown"));
    });
});

describe("a stream whose route names several services", () => {
    async function startWithTwoServices(): Promise<void> {
        const { routes, services, ...others } = createConfiguration(1) as Record<string, readonly { name: string }[]>;
        const split = [
            { service: "engines", weight: 9 },
            { service: "engines-b", weight: 1 },
        ];
        const changed = routes.map(route =>
            route.name === "r-plan" ? { ...route, service: undefined, split } : route,
        );
        const added = [...services, { ...services[0], name: "engines-b" }];
        await fixture.current.startFleet({ v1: 2 }, 2, { ...others, routes: changed, services: added });
    }

    // A service without targets can't have begun the stream.
    it.each([true, false])("goes on if only one of them has had targets (named: %s)", async isNamed => {
        await startWithTwoServices();
        const streams = await fixture.current.openStreams(streamCount, 0);
        const lost = streams.map(({ ids, responses }) => ({ ids: [`lost-${ids[0]}`, ...ids], responses }));
        const resumed = await fixture.current.resumeStreams(lost, 1, isNamed);
        expect(fixture.current.describeStreams(resumed)).toEqual({ mixed: 0, complete: streamCount, refusals: [] });
    });

    // Each service has one version, and texts of two services fit together no better than those of two versions.
    it("is refused without a record if two of them have targets", async () => {
        await startWithTwoServices();
        await fixture.current.addVersion("b1", 1, "engines-b");
        const added = fixture.current.targets[2].instanceId;
        await waitUntil(() => fixture.current.hasVersion(1, added, "b1"));
        const streams = await fixture.current.openStreams(streamCount, 0);
        const resumed = await fixture.current.resumeStreams(streams, 1, false);
        expect(fixture.current.describeStreams(resumed)).toEqual(createRefusals("stream-version-unknown"));
    });
});
