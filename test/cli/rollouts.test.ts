import { createConnectionOptions } from "../fakes/connectionOptions.js";
import { expect, it } from "vitest";
import { listenOn } from "../../src/control/server.js";
import { zeroCounts } from "../../src/decisions/rollouts/versionEvidence.js";
import { createRolloutsApp } from "../../src/gateway/rollouts/rolloutsApi.js";
import { findFreePort } from "../gateway/gatewayFixture.js";
import { CliFixture } from "./cliFixtures.js";

it("shows what is known of both versions, and why a roll-out came to its end", async () => {
    const app = createRolloutsApp(() => [
        {
            service: "app",
            version: "v2",
            state: "rolled-back",
            step: "canary",
            reason: "the version fails or is slow more often than the one before",
            ageMs: 2_400,
            durationMs: 12_000,
            verdict: "bad",
            routes: [
                {
                    route: "r-book",
                    candidate: { ...zeroCounts, requests: 9, failures: 4, timed: 5 },
                    baseline: { ...zeroCounts, requests: 80, timed: 80, slow: 1 },
                },
                {
                    route: "r-find",
                    candidate: { ...zeroCounts, requests: 8 },
                    baseline: { ...zeroCounts, requests: 70 },
                },
            ],
        },
    ]);
    const port = await findFreePort();
    const listener = (await listenOn(app, "127.0.0.1", port, createConnectionOptions()))._unsafeUnwrap();
    const { output, exitCode } = await new CliFixture().run(`rollouts --router 127.0.0.1:${port}`);
    listener.dispose();
    expect(exitCode).toBe(0);
    expect(output).toMatchInlineSnapshot(`
      "SERVICE  VERSION  STATE        SECONDS  VERDICT  ROUTE   NEW                   OLD
      app      v2       rolled-back  2 of 12  bad      r-book  9 (4 failed, 0 slow)  80 (0 failed, 1 slow)
                                                       r-find  8 (0 failed, 0 slow)  70 (0 failed, 0 slow)
      app v2 rolled-back: the version fails or is slow more often than the one before"
    `);
});

it("names a router that does not answer", async () => {
    expect(await new CliFixture().run("rollouts --router 127.0.0.1:1")).toMatchInlineSnapshot(`
      {
        "exitCode": 4,
        "output": "(stderr) lynxarch: fetch failed",
      }
    `);
});
