import { describe, expect, it } from "vitest";
import { AccountStatistics } from "../../src/gateway/accountStatistics.js";
import { GatewayMetrics } from "../../src/gateway/gatewayMetrics.js";

const use = { share: 0.5, surplus: 1.25, sumsAgeMs: 0 };

function createMetrics(figures: AccountStatistics): GatewayMetrics {
    return new GatewayMetrics(() => ({
        openRequests: 0,
        configurationVersion: 1,
        isPlatformConnected: true,
        targetsViewAgeMs: 250,
        storeReads: [{ records: "targets", outcome: "history-dropped", count: 2 }],
        peers: 0,
        peerRound: { messageBytes: 0, periodMs: 100 },
        rollouts: [],
        sharedConnections: { handedOver: 0, received: 0, unreached: 0 },
        heldRequests: 0,
        targets: [],
        load: { shedShare: 0.1, loop: { delayMs: 30, utilization: 0.9 } },
        listAccounts: () =>
            figures.listAll().map(([account, counts]) => ({
                account,
                counts,
                computeUsage: () => (account === "other" ? undefined : use),
            })),
    }));
}

function recordRequest(figures: AccountStatistics, account: string, askedTokens: number, isServed: boolean): void {
    const request = figures.createRequest(account, askedTokens);
    request.record("read");
    if (isServed) {
        request.record("begun");
        // A stream that goes on at another target begins there once more.
        request.record("begun");
    }
    request.recordEnd(
        isServed
            ? { outcome: "answered", reason: "", timeliness: "late-pause" }
            : { outcome: "refused", reason: "over-share" },
    );
}

async function listLines(figures: AccountStatistics, name: string): Promise<readonly string[]> {
    const metrics = createMetrics(figures);
    await metrics.render();
    const text = await metrics.render();
    return text.split("\n").filter(line => line.startsWith(name) && !line.includes("_sums_age_"));
}

describe("tokens by account", () => {
    // A client account complains that it got far less than another one. Refusals by reason don't tell who asked for how much.
    it("tell what each asked for and got", async () => {
        const figures = new AccountStatistics();
        recordRequest(figures, "first", 900, true);
        recordRequest(figures, "first", 600, false);
        recordRequest(figures, "second", 100, false);
        expect(await listLines(figures, "lynxarch_account_")).toMatchInlineSnapshot(`
          [
            "lynxarch_account_share{account="first"} 0.5",
            "lynxarch_account_share{account="second"} 0.5",
            "lynxarch_account_surplus{account="first"} 1.25",
            "lynxarch_account_surplus{account="second"} 1.25",
            "lynxarch_account_requests_total{account="first",stage="read"} 2",
            "lynxarch_account_requests_total{account="first",stage="begun"} 1",
            "lynxarch_account_requests_total{account="first",stage="late"} 1",
            "lynxarch_account_requests_total{account="first",stage="refused-over-share"} 1",
            "lynxarch_account_requests_total{account="second",stage="read"} 1",
            "lynxarch_account_requests_total{account="second",stage="begun"} 0",
            "lynxarch_account_requests_total{account="second",stage="refused-over-share"} 1",
            "lynxarch_account_tokens_total{account="first",stage="read"} 1500",
            "lynxarch_account_tokens_total{account="first",stage="begun"} 900",
            "lynxarch_account_tokens_total{account="first",stage="late"} 900",
            "lynxarch_account_tokens_total{account="first",stage="refused-over-share"} 600",
            "lynxarch_account_tokens_total{account="second",stage="read"} 100",
            "lynxarch_account_tokens_total{account="second",stage="begun"} 0",
            "lynxarch_account_tokens_total{account="second",stage="refused-over-share"} 100",
          ]
        `);
    });

    it("are counted together beyond a number of accounts", async () => {
        const figures = new AccountStatistics();
        for (let index = 0; index < 150; index++) {
            recordRequest(figures, `a${index}`, 10, false);
        }
        const lines = await listLines(figures, "lynxarch_account_tokens_total");
        expect(lines.length).toBe(303);
        expect(lines).toContain('lynxarch_account_tokens_total{account="other",stage="read"} 500');
        expect((await listLines(figures, "lynxarch_account_share")).length).toBe(100);
    });

    it("stand beside how the router keeps up", async () => {
        const figures = new AccountStatistics();
        const names = ["lynxarch_shed_share", "lynxarch_loop_utilization", "lynxarch_loop_delay_seconds"];
        expect((await Promise.all(names.map(name => listLines(figures, name)))).flat()).toMatchInlineSnapshot(`
          [
            "lynxarch_shed_share 0.1",
            "lynxarch_loop_utilization 0.9",
            "lynxarch_loop_delay_seconds 0.03",
          ]
        `);
    });
});

describe("the view of the platform's records", () => {
    // A target that has left goes on getting requests, and nothing tells whether its record was read late or kept.
    it("tells its age and how reads ended", async () => {
        const lines = [
            ...(await listLines(new AccountStatistics(), "lynxarch_targets_view")),
            ...(await listLines(new AccountStatistics(), "lynxarch_store_reads")),
        ];
        expect(lines).toMatchInlineSnapshot(`
          [
            "lynxarch_targets_view_age_seconds 0.25",
            "lynxarch_store_reads{records="targets",outcome="history-dropped"} 2",
          ]
        `);
    });
});

describe("the end of a request", () => {
    it("is one stage", () => {
        const ends = [
            { outcome: "refused", reason: "busy" },
            { outcome: "refused", reason: "late" },
            { outcome: "left", reason: "" },
            { outcome: "left", reason: "", firstOutputMs: 5 },
            { outcome: "timeout", reason: "" },
            { outcome: "answered", reason: "", timeliness: "in-time" },
        ] as const;
        const figures = new AccountStatistics();
        for (const [index, end] of ends.entries()) {
            const request = figures.createRequest(`a${index}`, 1);
            request.record("read");
            request.recordEnd(end);
        }
        figures.createRequest("a6", 1).recordEnd({ outcome: "left", reason: "" });
        const stages = figures.listAll().map(([, counts]) => counts.listReachedStages().join(" "));
        expect(stages).toMatchInlineSnapshot(`
          [
            "read shed",
            "read refused-late",
            "read left-before-output",
            "read left-during-output",
            "read failed",
            "read in-time",
            "left-unread",
          ]
        `);
    });
});
