import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createPromptHeaders, findFreePort, GatewayFixture, waitUntil } from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    await fixture.current.start();
});

afterEach(() => fixture.current.dispose());

/** Fetches the stages of the account's requests, with their tokens, from the metrics page. */
async function fetchStages(port: number): Promise<readonly string[]> {
    const text = await (await fetch(`http://127.0.0.1:${port}/metrics`)).text();
    return [...text.matchAll(/^lynxarch_account_tokens_total\{account="north",stage="(.*)"\} (.*)$/gmu)].map(
        ([, stage, tokens]) => `${stage} ${tokens}`,
    );
}

describe("the stages of an account's requests", () => {
    // The metrics must show where an account's requests ended: one was granted and completed, others found no target.
    it("are listed on the metrics page", async () => {
        const port = await findFreePort();
        await fixture.current.addRouter({ metricsPort: port });
        await fixture.current.send({ path: "/plan/x", headers: createPromptHeaders("a1") });
        await fixture.current.addTarget("engines", "engine-1");
        await waitUntil(async () => {
            const response = await fixture.current.send({ path: "/once/x", headers: createPromptHeaders("a2") });
            return response.status === 200;
        });
        const stages = await fetchStages(port);
        expect(stages.filter(line => !/^(read|refused-no-target) /u.test(line))).toMatchInlineSnapshot(`
          [
            "asked-owner 1100",
            "decided-by-owner 1100",
            "granted 1100",
            "sent 1100",
            "begun 1100",
            "in-time 1100",
          ]
        `);
        // How often the second request is refused before the router has read the target's record depends on timing.
        const counts = new Map(stages.map(line => line.split(" ") as [string, string]));
        expect(Number(counts.get("read")) - Number(counts.get("refused-no-target"))).toBe(1_100);
    });
});
