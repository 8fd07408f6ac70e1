import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { CancellationTokenSource } from "../../src/base/cancellation.js";
import { commandList } from "../../src/cli/commandList.js";
import { runProgram, type CommonOptions } from "../../src/cli/program.js";
import { SystemContext } from "../../src/cli/systemContext.js";
import { explainRequest, renderExplanation } from "../../src/events/explainRequest.js";
import type { FleetEvent, FleetEventKind } from "../../src/events/fleetEvent.js";
import { checkHistory, defaultHistoryBounds } from "../../src/events/historyChecker.js";
import { compareEvents, mergeTimeline, type Timeline } from "../../src/events/mergeTimeline.js";
import { issueKey, sendCall, sendChat } from "../fakes/callers.js";
import { Fleet, type FleetDaemon } from "../fakes/fleet.js";

const startTimeoutMs = 60_000;
const fleet = new Fleet({
    dataCentres: 2,
    targetsPerDataCentre: 2,
    routers: 2,
    daemonFile: "src/daemon/main.ts",
    engineArgs: ["--cold-ms", "500", "--token-ms", "10"],
    serviceArgs: ["--delay-ms", "200"],
});
const weights = { department: 10 };
/** Several times the dearest request of this run, which costs about 180 tokens. */
const gap = 1_000;
const pages: (readonly FleetEvent[])[] = [];

async function readEvents(daemons: readonly FleetDaemon[]): Promise<void> {
    for (const daemon of daemons) {
        pages.push((await fleet.fetchEvents(daemon)) ?? []);
    }
}

async function readTargetEvents(): Promise<void> {
    for (const target of fleet.targets) {
        const path = target.kind === "model" ? "/events" : "/__events";
        const response = await fetch(`${fleet.getStandIn(target.name).url}${path}`);
        pages.push(((await response.json()) as { events: FleetEvent[] }).events);
    }
}

async function runChats(count: number): Promise<readonly (string | undefined)[]> {
    const accounts = ["department", "middle", "club"] as const;
    const chats = Array.from({ length: count }, async (...[, index]) => {
        const url = fleet.getRouter(index % 2).callersUrl ?? "";
        const account = accounts[index % accounts.length];
        return sendChat(url, account, `chat ${index} at ${performance.now()} [tokens:${20 + index}]`);
    });
    return (await Promise.all(chats)).map(chat => chat.requestId);
}

async function runKeyedCall(): Promise<void> {
    const urls = [0, 1].map(index => fleet.getRouter(index).callersUrl ?? "");
    const key = await issueKey(urls[0], "club");
    await Promise.all(urls.map(url => sendCall(url, "club", key)));
    await sendCall(urls[1], "club", key);
}

/** Steps that the explanation of an answered request has in any case. */
const neededKinds: readonly FleetEventKind[] = [
    "request-queued",
    "request-sent",
    "request-started",
    "target-run",
    "answer-sent",
    "answer-delivered",
];

/** Runs the command-line tool and returns what it prints. */
async function runCli(...args: readonly string[]): Promise<readonly string[]> {
    const settingsFile = join(fleet.folder, "cli.json");
    const environments = { production: { platformUrl: fleet.platform.url } };
    writeFileSync(settingsFile, JSON.stringify({ environments, secretFile: fleet.secretFile }));
    const lines: string[] = [];
    const output = { print: (line: string) => lines.push(line), printError: () => undefined };
    const source = new CancellationTokenSource();
    const createContext = ({ settingsFile: file, giveUpAfterMs }: CommonOptions): SystemContext =>
        new SystemContext(file, giveUpAfterMs, source.token);
    const commands = commandList;
    const code = await runProgram([...args, "--settings", settingsFile], {
        version: "0",
        commands,
        output,
        createContext,
    });
    return [...lines, `exit ${code}`];
}

/** Reads the router's events until it is gone, as they go with it. */
async function stopRouter(router: FleetDaemon): Promise<void> {
    router.process.send("SIGTERM");
    while (router.process.isRunning) {
        await readEvents([router]);
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}

beforeAll(() => fleet.start(), startTimeoutMs);
afterAll(() => fleet.close());

describe("a history of real processes", () => {
    // Callers of three accounts send work through two routers and repeat keyed calls through both; an agent is killed
    // and comes back, and a router is stopped as planned. Whatever any process recorded is merged and checked.
    it("breaks none of the promises, and explains each request", async () => {
        const explained = await runChats(24);
        await Promise.all([runKeyedCall(), runKeyedCall()]);
        const victim = fleet.agents[0];
        const during = runChats(12);
        await readEvents(fleet.daemons);
        victim.process.send("SIGKILL");
        await victim.process.exited;
        await during;
        fleet.startAgain(victim);
        await fleet.waitReady(victim);
        await Promise.all([runChats(8), runKeyedCall()]);
        await readEvents(fleet.daemons);
        const last = runChats(8);
        await stopRouter(fleet.getRouter(1));
        await last;
        await readEvents(fleet.daemons.filter(daemon => daemon.process.isRunning));
        await readTargetEvents();
        const timeline: Timeline = mergeTimeline(pages);
        if (process.env["LYNXARCH_KEEP_HISTORY"] !== undefined) {
            writeFileSync(join(process.env["LYNXARCH_KEEP_HISTORY"], "history.json"), JSON.stringify(timeline));
        }
        expect(checkHistory(timeline, { ...defaultHistoryBounds, gap, weights })).toEqual([]);
        const explanation = explainRequest(timeline, explained[0] ?? "");
        const kinds = explanation?.steps.map(step => step.event.kind) ?? [];
        expect(kinds[0]).toBe("request-accepted");
        expect(neededKinds.filter(kind => !kinds.includes(kind))).toEqual([]);
        expect(explanation?.notes).toEqual([]);
    }, 60_000);

    it("is shown by the command-line tool", async () => {
        const events = (await runCli("timeline", "--json")).slice(0, -1).map(line => JSON.parse(line) as FleetEvent);
        expect(events.every((event, index) => index === 0 || compareEvents(events[index - 1], event) < 0)).toBe(true);
        const requestId = events.find(event => event.kind === "answer-sent")?.requestId ?? "";
        const explanation = explainRequest(mergeTimeline([events]), requestId);
        const expected = explanation === undefined ? [] : renderExplanation(explanation);
        expect(expected.length).toBeGreaterThan(1);
        expect(await runCli("explain", requestId)).toEqual([...expected, "exit 0"]);
        expect(await runCli("explain", "nobody")).toEqual(["exit 1"]);
        const shares = await runCli("shares");
        expect(shares[0]).toMatchInlineSnapshot(
            `"ACCOUNT     SERVICE   WEIGHT  SERVICE/WEIGHT  WAITING  RUNNING  BEHIND"`,
        );
        expect(shares.slice(1, -1).map(line => line.split(/ +/).slice(0, 3).join(" "))).toMatchInlineSnapshot(`
          [
            "club bookings 1",
            "department bookings 10",
            "middle bookings 3",
            "club planner 1",
            "department planner 10",
            "middle planner 3",
          ]
        `);
        const page = join(fleet.folder, "page.html");
        expect((await runCli("timeline", "--html", page)).at(-1)).toBe("exit 0");
        // Nothing in the page is fetched from anywhere.
        expect(readFileSync(page, "utf8").match(/(src|href)=|url\(|@import|<script/g)).toBeNull();
    });
});
