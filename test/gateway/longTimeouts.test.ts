import { afterEach, beforeEach, expect, it } from "vitest";
import { createConfiguration, createPromptHeaders, GatewayFixture } from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };
/** More than a timer can count, which is 2^31 - 1. */
const longMs = 10_000_000_000;

beforeEach(() => {
    fixture.current = new GatewayFixture();
});

afterEach(() => fixture.current.dispose());

// A timer that is set to such a time expires at once, and each request of the route would fail.
it.each([
    ["/book/x", "app"],
    ["/find/x", "app"],
    ["/plan/x", "engines"],
] as const)("a route with timeouts and objectives beyond a timer's range serves its requests (%s)", async (...row) => {
    const [path, service] = row;
    const times = { timeout_ms: longMs, goal_ms: longMs, gap_target_ms: longMs };
    const routes = (createConfiguration(1).routes as readonly object[]).map(route => ({ ...route, ...times }));
    await fixture.current.start(createConfiguration(1, { routes }));
    await fixture.current.addTarget(service, "target-1");
    await fixture.current.addRouter();
    const headers = createPromptHeaders("a1", { "x-lynxarch-deadline-ms": String(longMs) });
    const { status, isIncomplete } = await fixture.current.send({ path, headers, body: "b" });
    expect({ status, isIncomplete }).toEqual({ status: 200, isIncomplete: false });
});
