import { beforeEach, expect, it } from "vitest";
import { CliFixture } from "./cliFixtures.js";

let fixture: CliFixture;

beforeEach(() => {
    fixture = new CliFixture();
});

it("names what is wrong with the command line, and a router that does not answer", async () => {
    const lines = [
        "held list",
        "held list --router nowhere",
        "held release abc --router 127.0.0.1:1",
        "held list --router 127.0.0.1:1",
    ];
    const runs = [];
    for (const line of lines) {
        runs.push(await fixture.run(line));
    }
    expect(runs).toMatchInlineSnapshot(`
      [
        {
          "exitCode": 2,
          "output": "(stderr) lynxarch: --router must be HOST:PORT",
        },
        {
          "exitCode": 2,
          "output": "(stderr) lynxarch: --router must be HOST:PORT",
        },
        {
          "exitCode": 2,
          "output": "(stderr) lynxarch: <digest> must be 32 hexadecimal digits, as in held list",
        },
        {
          "exitCode": 4,
          "output": "(stderr) lynxarch: fetch failed",
        },
      ]
    `);
});
