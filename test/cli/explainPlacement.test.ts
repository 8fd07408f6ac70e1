import { afterAll, beforeAll, describe, expect, it, vi } from "vitest";
import type { PlacementExplanation } from "../../src/gateway/explanations/placementExplanation.js";
import { createPromptHeaders, GatewayFixture } from "../gateway/gatewayFixture.js";
import { CliFixture } from "./cliFixtures.js";

const fixture = new GatewayFixture();
let control = "";

beforeAll(async () => {
    await fixture.start();
    await fixture.addTarget("engines", "engine-1");
    await fixture.addTarget("engines", "engine-2", { state: "draining" });
    await fixture.addTarget("app", "app-1");
    await fixture.addRouter();
    control = fixture.routers[0].settings.control ?? "";
});

afterAll(() => fixture.dispose());

function run(args: string): ReturnType<CliFixture["run"]> {
    return new CliFixture().run(`explain-placement --router ${control} ${args}`.trim());
}

/** The queue that the owner reported with its grant outlasts the response: it is drained at the engine's speed. */
function explainUnqueued(args: string): Promise<PlacementExplanation> {
    return vi.waitFor(
        async () => {
            const { exitCode, output } = await run(args);
            expect(exitCode).toBe(0);
            const explanation = JSON.parse(output) as PlacementExplanation;
            expect(explanation.services[0].candidates[0].queuedTokens).toBe(0);
            return explanation;
        },
        { timeout: 30_000, interval: 50 },
    );
}

describe("explain-placement", () => {
    it("asks a router, which sends nothing to its targets and counts no request", async () => {
        const { status } = await fixture.send({ path: "/plan/x", headers: createPromptHeaders("a1") });
        const sentBefore = fixture.targets.flatMap(({ received }) => received).length;
        const explanation = await explainUnqueued(
            "--route r-plan --account north --parts aa:800,bb:200 --max-output 50 --json",
        );
        const [{ service, candidates, excluded }] = explanation.services;
        expect(status).toBe(200);
        expect(fixture.targets.flatMap(({ received }) => received).length).toBe(sentBefore);
        expect({ service, excluded, decision: explanation.decision }).toMatchInlineSnapshot(`
          {
            "decision": {
              "decidedBy": "owner",
              "owner": "router-1",
              "withoutReply": {
                "isAdmitted": true,
              },
            },
            "excluded": [
              {
                "reason": "leaving",
                "target": "engine-2",
              },
            ],
            "service": "engines",
          }
        `);
        const { costMs, terms, ...candidate } = candidates[0];
        expect(candidate).toMatchInlineSnapshot(`
          {
            "dataCentre": "dc-a",
            "isAlwaysCompared": true,
            "newTokens": 200,
            "queuedTokens": 0,
            "running": 0,
            "slots": 8,
            "target": "engine-1",
            "version": "v1",
          }
        `);
        const { savedMs, ...paid } = terms;
        expect(savedMs).toBeGreaterThan(0);
        expect(Object.values(paid).reduce((sum, ms) => sum + ms, 0)).toBeCloseTo(costMs);
        expect([explanation.account, explanation.share.maxUsage]).toEqual(["north", 1.5]);
        expect(explanation.chargedTokens).toBeGreaterThan(1_000);
        expect(explanation.targetsViewAgeMs).toBeGreaterThanOrEqual(0);
    });

    it("prints text", async () => {
        const { exitCode, output } = await run("--route r-book");
        const lines = output.split("\n");
        expect(exitCode).toBe(0);
        expect(lines.slice(1).join("\n")).toMatchInlineSnapshot(`
          "request on r-book (objective 3.0 s): 0 prompt tokens, 0 expected output tokens, charged 0
          account none: share 0, surplus 0, may use 1.5 of an engine's limit; other routers' sums 0 ms old
          service app, tried first by 100 % of requests
            TARGET  DATA CENTRE  VERSION  COST MS  wait  batch  distance  NEW  QUEUED  RUNNING  COPY
            app-1*  dc-a         v1       0        0     0      0         0    0       0 of 8   -
          placed: app-1 of app, expected after 0 ms, 0 ms without other load
          decision: admitted, as it waits no longer than 1.8 s"
        `);
    });

    it.each([
        "",
        "--route r-other",
        "--route r-plan --account south",
        "--route r-plan --parts aa",
        "--route r-plan --parts aa:800,bb:x",
        "--route r-plan --parts aa:800,",
        "--route r-plan --prompt-tokens=-4",
        "--route r-plan --prompt-tokens=1.5",
        "--route r-plan --max-output many",
        "--route r-plan --unknown 1",
    ])("refuses bad input: %s", async args => {
        const { exitCode, output } = await run(args);
        expect({ exitCode, output: output.replace(control, "ROUTER") }).toMatchSnapshot();
    });

    it("names a router that does not answer", async () => {
        expect(await new CliFixture().run("explain-placement --router 127.0.0.1:1 --route r")).toMatchInlineSnapshot(`
          {
            "exitCode": 4,
            "output": "(stderr) lynxarch: fetch failed",
          }
        `);
    });
});
