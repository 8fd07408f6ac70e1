import { describe, expect, it } from "vitest";
import { AccountStatistics } from "../../src/gateway/accountStatistics.js";
import { GatewayMetrics } from "../../src/gateway/gatewayMetrics.js";

const usage = { share: 0.5, surplus: 1.25, sumsAgeMs: 0 };

function createMetrics(statistics: AccountStatistics): GatewayMetrics {
    return new GatewayMetrics(() => ({
        openRequests: 0,
        configurationVersion: 1,
        isPlatformConnected: true,
        targetsViewAgeMs: 250,
        storeReads: [{ records: "targets", outcome: "history-dropped", count: 2 }],
        peers: 0,
        peerRound: { messageBytes: 0, periodMs: 100 },
        peerTraffic: { bytes: { own: 10, other: 20, unknown: 5 }, sentToRelays: 2, forwarded: 3 },
        rollouts: [],
        refusedEarly: { returned: 0, shed: 0 },
        withdrawal: { reason: "reserve", evenShare: 0.4, counts: { reserve: 2, "beyond-reserve": 0, overload: 0 } },
        closedIdleConnections: 0,
        clientConnections: {
            heldBytes: 131_072,
            heldConnections: 2,
            closed: { "input-budget": 3, "no-request": 1, "unread-response": 4, "no-place": 5 },
        },
        sharedConnections: { handedOver: 0, received: 0, unreached: 0 },
        unsent: { bytes: 4_096, peakBytes: 65_536, ended: { stream: 1, account: 2, router: 3 } },
        heldRequests: 0,
        heldParts: 0,
        targets: [],
        targetSpeeds: [
            { service: "engines", target: "engine-1", slowdown: 2.5, speedFactor: 1.7 },
            { service: "engines", target: "engine-2", slowdown: undefined, speedFactor: 0.7 },
        ],
        load: { shedShare: 0.1, loop: { delayMs: 30, utilization: 0.9, recentUtilization: 0.9 } },
        spareCapacity: { engines: 2, allowance: 0.4, limitUsage: 0.7 },
        listAccounts: () =>
            statistics.listAll().map(([account, counts]) => ({
                account,
                counts,
                computeUsage: () => (account === "other" ? undefined : usage),
            })),
    }));
}

function recordRequest(statistics: AccountStatistics, account: string, askedTokens: number, isServed: boolean): void {
    const request = statistics.createRequest(account, askedTokens);
    request.record("read");
    if (isServed) {
        request.record("begun");
        // A stream that continues at another target begins a second time there.
        request.record("begun");
    }
    request.recordEnd(
        isServed
            ? { outcome: "answered", reason: "", timeliness: "late-pause" }
            : { outcome: "refused", reason: "over-share" },
    );
}

async function listLines(statistics: AccountStatistics, name: string): Promise<readonly string[]> {
    const metrics = createMetrics(statistics);
    await metrics.render();
    const text = await metrics.render();
    return text.split("\n").filter(line => line.startsWith(name) && !line.includes("_sums_age_"));
}

describe("tokens by account", () => {
    // To find out why one account is served less than another, refusals by reason are not enough: requested and served tokens are needed.
    it("show what each requested and was served", async () => {
        const statistics = new AccountStatistics();
        recordRequest(statistics, "first", 900, true);
        recordRequest(statistics, "first", 600, false);
        recordRequest(statistics, "second", 100, false);
        expect(await listLines(statistics, "lynxarch_account_")).toMatchInlineSnapshot(`
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

    it("are counted together beyond the limit of named accounts", async () => {
        const statistics = new AccountStatistics();
        for (let index = 0; index < 150; index++) {
            recordRequest(statistics, `a${index}`, 10, false);
        }
        const lines = await listLines(statistics, "lynxarch_account_tokens_total");
        expect(lines.length).toBe(303);
        expect(lines).toContain('lynxarch_account_tokens_total{account="other",stage="read"} 500');
        expect((await listLines(statistics, "lynxarch_account_share")).length).toBe(100);
    });

    it("are exported along with the router's load", async () => {
        const statistics = new AccountStatistics();
        const names = ["lynxarch_shed_share", "lynxarch_loop_utilization", "lynxarch_loop_delay_seconds"];
        expect((await Promise.all(names.map(name => listLines(statistics, name)))).flat()).toMatchInlineSnapshot(`
          [
            "lynxarch_shed_share 0.1",
            "lynxarch_loop_utilization 0.9",
            "lynxarch_loop_delay_seconds 0.03",
          ]
        `);
    });
});

// Where requests are refused as over-share while little is granted, the allowance tells whether it rises.
it("shows what the router grants of the engines that it owns", async () => {
    const metrics = createMetrics(new AccountStatistics());
    const lines = (await metrics.render()).split("\n").filter(line => line.startsWith("lynxarch_engine_"));
    expect(lines).toEqual(["lynxarch_engine_granted_fraction 0.7", "lynxarch_engine_allowance 0.4"]);
});

// Operators have to see whether routers are not ready by decision or because they are overloaded.
it("shows why the router is withdrawn from the balancer", async () => {
    const names = ["lynxarch_withdrawn", "lynxarch_withdrawals", "lynxarch_even_share"];
    const lines = await Promise.all(names.map(name => listLines(new AccountStatistics(), name)));
    expect(lines.flat()).toMatchInlineSnapshot(`
      [
        "lynxarch_withdrawn{reason="reserve"} 1",
        "lynxarch_withdrawn{reason="beyond-reserve"} 0",
        "lynxarch_withdrawn{reason="overload"} 0",
        "lynxarch_withdrawals{reason="reserve"} 2",
        "lynxarch_withdrawals{reason="beyond-reserve"} 0",
        "lynxarch_withdrawals{reason="overload"} 0",
        "lynxarch_even_share 0.4",
      ]
    `);
});

describe("the view of the platform's records", () => {
    // If a target that has left still receives requests, the metrics must show whether its record was read late or was kept.
    it("shows its age and the outcomes of reads", async () => {
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
    it("is counted as exactly one stage", () => {
        const ends = [
            { outcome: "refused", reason: "busy" },
            { outcome: "refused", reason: "late" },
            { outcome: "left", reason: "" },
            { outcome: "left", reason: "", firstOutputMs: 5 },
            { outcome: "timeout", reason: "" },
            { outcome: "answered", reason: "", timeliness: "in-time" },
        ] as const;
        const statistics = new AccountStatistics();
        for (const [index, end] of ends.entries()) {
            const request = statistics.createRequest(`a${index}`, 1);
            request.record("read");
            request.recordEnd(end);
        }
        statistics.createRequest("a6", 1).recordEnd({ outcome: "left", reason: "" });
        const stages = statistics.listAll().map(([, counts]) => counts.listReachedStages().join(" "));
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

describe("speeds of targets", () => {
    // A target that does not report its slowdown must not appear with a wrong one.
    it("are listed by target, the slowdown only where it was reported", async () => {
        expect(await listLines(new AccountStatistics(), "lynxarch_target_s")).toMatchInlineSnapshot(`
          [
            "lynxarch_target_slowdown{service="engines",target="engine-1"} 2.5",
            "lynxarch_target_speed_factor{service="engines",target="engine-1"} 1.7",
            "lynxarch_target_speed_factor{service="engines",target="engine-2"} 0.7",
          ]
        `);
    });
});
