import { describe, expect, it } from "vitest";
import type { RouterEffect } from "../../src/fleet/routerMessages.js";
import type { RouterCore } from "../../src/fleet/router/routerCore.js";
import { createDocument, createReport, createRequest, createRouter } from "./routerFixtures.js";

const printEffect = (effect: RouterEffect): string =>
    effect.type === "refuse"
        ? `refuse ${effect.requestId} ${effect.refusal.reason} ${effect.refusal.execution}`
        : `${effect.type} ${effect.requestId} ${effect.agentId}`;
const printEffects = (effects: readonly RouterEffect[]): readonly string[] => effects.map(printEffect);
const submit = (core: RouterCore, id: string, nowMs: number, changes = {}, homeAgentId?: string): readonly string[] =>
    printEffects(core.handle({ type: "submitted", request: createRequest(id, changes), homeAgentId }, nowMs));

describe("offering", () => {
    it("offers an account's backlog to every agent up to the offer depth and keeps the rest", () => {
        const core = createRouter(["t1", "t2", "t3"]);
        const sent = Array.from({ length: 10 }, (...[, index]) => submit(core, `r${index}`, 0)).flat();
        expect(sent.map(line => line.split(" ")[2]).sort()).toMatchInlineSnapshot(`
          [
            "t1",
            "t1",
            "t2",
            "t2",
            "t3",
            "t3",
          ]
        `);
        expect([core.countWaiting(), core.countRunning()]).toEqual([10, 0]);
        const firstAgentId = sent[0]?.split(" ")[2] ?? "";
        const next = core.handle({ type: "workStarted", requestId: "r0", agentId: firstAgentId }, 1);
        expect([firstAgentId, ...printEffects(next)]).toMatchInlineSnapshot(`
          [
            "t2",
            "sendWork r6 t2",
          ]
        `);
    });

    it("moves a request that waits at a busy agent to an agent that reports free capacity", () => {
        const core = createRouter(["t1"]);
        expect(submit(core, "r1", 0)).toMatchInlineSnapshot(`
          [
            "sendWork r1 t1",
          ]
        `);
        core.handle({ type: "agentReported", report: createReport("t1", 2, { running: 4, queued: 1 }) }, 50);
        const withdrawals = core.handle({ type: "agentReported", report: createReport("t2", 1) }, 100);
        expect(printEffects(withdrawals)).toMatchInlineSnapshot(`
          [
            "withdrawWork r1 t1",
          ]
        `);
        const moved = core.handle({ type: "workWithdrawn", requestId: "r1", agentId: "t1" }, 101);
        expect(printEffects(moved)).toMatchInlineSnapshot(`
          [
            "sendWork r1 t2",
          ]
        `);
    });

    it("does not send the request again when the withdrawal came too late", () => {
        const core = createRouter(["t1"]);
        submit(core, "r1", 0);
        core.handle({ type: "agentReported", report: createReport("t1", 2, { running: 4, queued: 1 }) }, 50);
        core.handle({ type: "agentReported", report: createReport("t2", 1) }, 100);
        expect(core.handle({ type: "workStarted", requestId: "r1", agentId: "t1" }, 101)).toEqual([]);
        expect(core.handle({ type: "workWithdrawn", requestId: "r1", agentId: "t2" }, 102)).toEqual([]);
        expect(core.countRunning()).toBe(1);
    });
});

describe("agents out of service", () => {
    it("withdraws queued requests and sends no new ones once the document takes a data centre out", () => {
        const core = createRouter(["t1", "t3"], {}, createDocument());
        submit(core, "r1", 0);
        submit(core, "r2", 0);
        const documentWithoutB = createDocument({
            dataCentres: { a: { region: "r", state: "in" }, b: { region: "r", state: "out" } },
        });
        const withdrawals = core.handle({ type: "documentAccepted", offset: 1, document: documentWithoutB }, 10);
        expect(printEffects(withdrawals)).toMatchInlineSnapshot(`
          [
            "withdrawWork r2 t3",
          ]
        `);
        expect(submit(core, "r3", 20)).toMatchInlineSnapshot(`
          [
            "sendWork r3 t1",
          ]
        `);
        // An older document that arrives late must not return the data centre to service.
        core.handle({ type: "documentAccepted", offset: 0, document: createDocument() }, 21);
        expect(submit(core, "r4", 22)).toMatchInlineSnapshot(`[]`);
    });

    it("refuses as not-run once no agent has served for the maximum wait, and later requests immediately", () => {
        const core = createRouter(["t1"]);
        core.handle({ type: "agentReported", report: createReport("t1", 2, { phase: "draining" }) }, 0);
        expect(submit(core, "r1", 100)).toEqual([]);
        expect(core.nextTickAtMs()).toBe(2_000);
        expect(printEffects(core.tick(2_000))).toMatchInlineSnapshot(`
          [
            "refuse r1 no-target not-run",
          ]
        `);
        expect(submit(core, "r2", 2_001)).toMatchInlineSnapshot(`
          [
            "refuse r2 no-target not-run",
          ]
        `);
    });
});

describe("requests bound to a key owner", () => {
    const keyed = { idempotent: false, idempotencyKey: "key-1" };

    it("are sent to the key owner only and refused immediately when it is unavailable", () => {
        const core = createRouter(["t1", "t2"]);
        expect(submit(core, "r1", 0, keyed, "t2")).toMatchInlineSnapshot(`
          [
            "sendWork r1 t2",
          ]
        `);
        expect(submit(core, "r2", 0, keyed, "t9")).toMatchInlineSnapshot(`
          [
            "refuse r2 no-target unknown",
          ]
        `);
        expect(submit(core, "r3", 0, keyed)).toMatchInlineSnapshot(`
          [
            "refuse r3 no-target unknown",
          ]
        `);
    });

    it("end as unknown when the connection is lost after sending", () => {
        // The router sent the request to the key owner, then the connection was lost. The router can't determine whether
        // the owner ran the request, so it must not send it to another agent. The caller receives 503 with execution
        // "unknown".
        const core = createRouter(["t1", "t2"]);
        submit(core, "r1", 0, keyed, "t2");
        const ended = core.handle(
            { type: "workFailed", requestId: "r1", agentId: "t2", execution: "unknown", detail: "reset" },
            10,
        );
        expect(printEffects(ended)).toMatchInlineSnapshot(`
          [
            "refuse r1 target-failed unknown",
          ]
        `);
        submit(core, "r2", 20, keyed, "t2");
        expect(printEffects(core.handle({ type: "agentLost", agentId: "t2" }, 30))).toMatchInlineSnapshot(`
          [
            "cancelWork r2 t2",
            "refuse r2 target-failed unknown",
          ]
        `);
    });

    it("forward a refusal of the key owner", () => {
        const core = createRouter(["t1", "t2"]);
        submit(core, "r1", 0, keyed, "t2");
        const refusal = { reason: "key-unknown", execution: "unknown", retryAfterMs: undefined, detail: "x" } as const;
        const ended = core.handle({ type: "workRefused", requestId: "r1", agentId: "t2", refusal }, 10);
        expect(printEffects(ended)).toMatchInlineSnapshot(`
          [
            "refuse r1 key-unknown unknown",
          ]
        `);
    });
});

describe("deadlines", () => {
    it("ends a withdrawn request as not-run, and one without any reply as unknown", () => {
        const core = createRouter(["t1"]);
        submit(core, "r1", 0, { deadlineAtMs: 1_000 });
        submit(core, "r2", 0, { deadlineAtMs: 1_000 });
        expect(printEffects(core.tick(1_000))).toMatchInlineSnapshot(`
          [
            "withdrawWork r1 t1",
            "withdrawWork r2 t1",
          ]
        `);
        const withdrawn = core.handle({ type: "workWithdrawn", requestId: "r1", agentId: "t1" }, 1_001);
        expect(printEffects(withdrawn)).toMatchInlineSnapshot(`
          [
            "refuse r1 deadline not-run",
          ]
        `);
        expect(printEffects(core.tick(3_000))).toMatchInlineSnapshot(`
          [
            "withdrawWork r2 t1",
            "cancelWork r2 t1",
            "refuse r2 deadline unknown",
          ]
        `);
        expect(core.countWaiting()).toBe(0);
    });

    it("does not report not-run after an attempt that may have run", () => {
        const core = createRouter(["t1"]);
        submit(core, "r1", 0, { deadlineAtMs: 1_000 });
        core.handle({ type: "agentLost", agentId: "t1" }, 999.9);
        const ended = printEffects([...core.tick(1_000), ...core.tick(3_000)]);
        expect(ended).toMatchInlineSnapshot(`
          [
            "refuse r1 deadline unknown",
          ]
        `);
    });
});

describe("regressions found by the property test", () => {
    it("ends a request whose attempt fails after its deadline", () => {
        // The deadline passes while a withdrawal is pending, then the connection is lost. A retry would have no deadline
        // timer any more, and the caller would wait for ever.
        const core = createRouter(["t1"]);
        submit(core, "r1", 0, { deadlineAtMs: 1_000 });
        core.tick(1_000);
        const ended = core.handle(
            { type: "workFailed", requestId: "r1", agentId: "t1", execution: "unknown", detail: "reset" },
            1_001,
        );
        expect(printEffects(ended)).toMatchInlineSnapshot(`
          [
            "refuse r1 target-failed unknown",
          ]
        `);
    });

    it("ends a request that returns to the backlog after its service has had no agent for the maximum wait", () => {
        // The agent drains, and the check of waiting requests runs while the request is still at the agent. The request
        // is withdrawn later and must be checked then, as no further timer would end it.
        const core = createRouter(["t1"]);
        submit(core, "r1", 0);
        core.handle({ type: "agentReported", report: createReport("t1", 2, { phase: "draining" }) }, 10);
        core.tick(2_010);
        const ended = core.handle({ type: "workWithdrawn", requestId: "r1", agentId: "t1" }, 3_000);
        expect(printEffects(ended)).toMatchInlineSnapshot(`
          [
            "refuse r1 no-target not-run",
          ]
        `);
    });
});

describe("claims", () => {
    const counter = (charged: number, lift = 0) => ({
        service: "model",
        clientAccount: "club1",
        charged,
        refunded: 0,
        lift,
    });

    it("reports the totals of all other agents, keeps ended incarnations and never decreases", () => {
        const core = createRouter(["t1", "t2", "t3"]);
        core.handle({ type: "agentReported", report: createReport("t1", 2, { counters: [counter(10)] }) }, 1);
        core.handle({ type: "agentReported", report: createReport("t2", 2, { counters: [counter(5, 3)] }) }, 2);
        const first = core.createClaims("t1");
        expect(first.claims).toMatchInlineSnapshot(`
          [
            {
              "charged": 5,
              "clientAccount": "club1",
              "lift": 3,
              "refunded": 0,
              "service": "model",
            },
          ]
        `);
        // Only t1's own counters have changed: t1 gets no claims, but t2 must receive the change.
        core.handle({ type: "agentReported", report: createReport("t1", 3, { counters: [counter(12)] }) }, 3);
        expect(core.createClaims("t1", first.version).claims).toEqual([]);
        expect(core.createClaims("t2", first.version).claims.map(claim => claim.charged)).toEqual([12]);
        // A restarted t1 starts at zero; service of its earlier incarnation now counts as provided by others.
        const identity = { ...createReport("t1", 1).identity, incarnation: 2 };
        core.handle({ type: "agentReported", report: createReport("t1", 1, { identity }) }, 4);
        expect(core.createClaims("t1", first.version).claims.map(claim => claim.charged)).toEqual([17]);
        expect(core.listShares()[1]).toMatchInlineSnapshot(`
          {
            "clientAccount": "club1",
            "normalizedService": 20,
            "running": 0,
            "service": "model",
            "waiting": 0,
            "weight": 1,
          }
        `);
    });

    // A report of an exchange with many counters can arrive after a newer, small report that was sent along with a
    // response. If the router dropped the older report, its counters would be missing from the totals until those accounts
    // are charged again, since the exchange has acknowledged them. An idle account would appear to have been served less.
    it("applies the counters of a report that arrives after a newer one", () => {
        const core = createRouter(["t1", "t2"]);
        core.handle({ type: "agentReported", report: createReport("t1", 5, { window: 3 }) }, 1);
        const outdated = createReport("t1", 4, { window: 9, counters: [counter(10)] });
        core.handle({ type: "agentReported", report: outdated }, 2);
        expect(core.createClaims("t2").claims.map(claim => claim.charged)).toEqual([10]);
    });
});
