import { describe, expect, it } from "vitest";
import { GatewayMetrics } from "../../src/gateway/gatewayMetrics.js";

function createMetrics(): GatewayMetrics {
    return new GatewayMetrics(() => ({
        openRequests: 0,
        configurationVersion: 1,
        isPlatformConnected: true,
        peers: 0,
        peerRound: { messageBytes: 0, periodMs: 100 },
        heldRequests: 0,
        targets: [],
    }));
}

function recordRequest(metrics: GatewayMetrics, account: string, askedTokens: number, servedTokens: number): void {
    const outcome = servedTokens > 0 ? "answered" : "refused";
    metrics.recordEnd({
        requestId: "r",
        route: "route",
        account,
        configurationVersion: 1,
        tookMs: 1,
        end: { outcome, reason: "over-share", status: 429, askedTokens, servedTokens },
    });
}

async function listAccountLines(metrics: GatewayMetrics): Promise<readonly string[]> {
    const text = await metrics.render();
    return text.split("\n").filter(line => line.startsWith("lynxarch_account_tokens_total"));
}

describe("tokens by account", () => {
    // A client account complains that it got far less than another one. Refusals by reason don't tell who asked for how much.
    it("tell what each asked for and got", async () => {
        const metrics = createMetrics();
        recordRequest(metrics, "first", 900, 900);
        recordRequest(metrics, "first", 600, 0);
        recordRequest(metrics, "second", 100, 0);
        expect(await listAccountLines(metrics)).toMatchInlineSnapshot(`
          [
            "lynxarch_account_tokens_total{account="first",kind="asked"} 1500",
            "lynxarch_account_tokens_total{account="first",kind="served"} 900",
            "lynxarch_account_tokens_total{account="second",kind="asked"} 100",
            "lynxarch_account_tokens_total{account="second",kind="served"} 0",
          ]
        `);
    });

    it("are counted together beyond a number of accounts", async () => {
        const metrics = createMetrics();
        for (let index = 0; index < 150; index++) {
            recordRequest(metrics, `a${index}`, 10, 0);
        }
        const lines = await listAccountLines(metrics);
        expect(lines.length).toBe(202);
        expect(lines).toContain('lynxarch_account_tokens_total{account="other",kind="asked"} 500');
    });
});
