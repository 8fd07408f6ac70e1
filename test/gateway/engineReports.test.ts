import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createPromptHeaders, findFreePort, GatewayFixture, waitUntil } from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };
const state = { port: 0 };

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    state.port = await findFreePort();
    await fixture.current.start();
});

afterEach(() => fixture.current.dispose());

async function send(id: string): Promise<number> {
    return (await fixture.current.send({ path: "/plan/x", headers: createPromptHeaders(id) })).status;
}

async function fetchPage(page: "state" | "metrics"): Promise<string> {
    const { ip } = fixture.current.routers[0].settings;
    return (await fetch(`http://${ip}:${state.port}/${page}`)).text();
}

async function fetchSpeeds(): Promise<readonly unknown[]> {
    const { targets } = JSON.parse(await fetchPage("state")) as {
        targets: { slowdown?: number; speedFactor: number }[];
    };
    return targets.map(({ slowdown, speedFactor }) => [slowdown, Math.round(speedFactor * 100) / 100]);
}

describe("an engine's report in its responses", () => {
    it("is listed with the state of the target, and as a metric", async () => {
        const engine = await fixture.current.addTarget("engines", "engine-1");
        await fixture.current.addRouter({ metricsPort: state.port });
        engine.load = "1,0,8,250";
        expect(await send("first")).toBe(200);
        const [[slowdown]] = (await fetchSpeeds()) as [number | undefined, number][];
        const metrics = await fetchPage("metrics");
        expect([
            slowdown,
            metrics.includes('lynxarch_target_slowdown{service="engines",target="engine-1"} 2.5'),
        ]).toEqual([2.5, true]);
    });

    // Services whose engines report no fourth figure must be treated as before reports were read.
    it("has no effect without a fourth figure or with an absurd one", async () => {
        const engine = await fixture.current.addTarget("engines", "engine-1");
        await fixture.current.addRouter({ metricsPort: state.port });
        // The list of cached parts is a response as well, whose report would be counted.
        await waitUntil(() => engine.listCalls > 0);
        for (const load of [undefined, "1,0,8", "1,0,8,x", "1,0,8,999999"]) {
            engine.load = load;
            expect(await send(`r-${load}`.replace(/\W/g, "-"))).toBe(200);
        }
        const metrics = await fetchPage("metrics");
        const ignored = 'lynxarch_target_signals_total{service="engines",signal="load-ignored"} 2';
        expect([await fetchSpeeds(), metrics.includes(ignored), metrics.includes("lynxarch_target_slowdown{")]).toEqual(
            [[[undefined, 1]], true, false],
        );
    });
});
