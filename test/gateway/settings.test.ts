import { readFileSync } from "node:fs";
import { expect, it } from "vitest";
import { parseGatewaySettings } from "../../src/gateway/settings.js";

const sample = JSON.parse(readFileSync("deploy/settings.sample.json", "utf8")) as object;

function parse(changes: object): ReturnType<typeof parseGatewaySettings> {
    return parseGatewaySettings(() => JSON.stringify({ ...sample, ...changes }), "settings.json");
}

it("limits for client connections have defaults", () => {
    expect(parse({})._unsafeUnwrap().clientLimits).toMatchInlineSnapshot(`
      {
        "heldInputShare": 0.125,
        "managementConnectionShare": 0.05,
        "maxBytesWithoutRequest": 131072,
        "unreadTimeoutMs": 60000,
      }
    `);
});

it("faulty limits for client connections are named", () => {
    const clientLimits = { heldInputShare: 0.6, unreadTimeoutMs: 0, managementConnectionShare: "much" };
    expect(parse({ clientLimits })._unsafeUnwrapErr().message).toMatchInlineSnapshot(`
      "settings.json has faults:
        clientLimits.heldInputShare: Too big: expected number to be <=0.5
        clientLimits.unreadTimeoutMs: Too small: expected number to be >0
        clientLimits.managementConnectionShare: Invalid input: expected number, received string"
    `);
});
