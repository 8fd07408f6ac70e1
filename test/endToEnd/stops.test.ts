import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { sendCall, sendChat, sendUntilRun, type ChatOutcome } from "../fakes/callers.js";
import { Fleet, type FleetDaemon } from "../fakes/fleet.js";
import { waitUntil } from "../fakes/processes.js";
import { countRunsByKey, fetchEngineRuns } from "../fakes/targetRuns.js";

const startTimeoutMs = 60_000;
const fleet = new Fleet({
    dataCentres: 2,
    targetsPerDataCentre: 2,
    routers: 2,
    daemonFile: "src/daemon/main.ts",
    engineArgs: ["--cold-ms", "200", "--token-ms", "20"],
    serviceArgs: ["--delay-ms", "200"],
});

function getUrl(index: number): string {
    return fleet.getRouter(index).callersUrl ?? "";
}

/** Sends chats through a router and waits until each has begun to answer. */
async function startChats(index: number, count: number): Promise<readonly Promise<ChatOutcome>[]> {
    const begun: Promise<void>[] = [];
    const chats: Promise<ChatOutcome>[] = [];
    for (let number = 0; number < count; number++) {
        begun.push(
            new Promise(resolve => {
                const prompt = `chat ${number} through ${index} at ${performance.now()} [tokens:60]`;
                const chat = sendChat(getUrl(index), "department", prompt, resolve);
                void chat.then(() => resolve());
                chats.push(chat);
            }),
        );
    }
    await Promise.all(begun);
    return chats;
}

async function runChats(index: number, count: number): Promise<readonly (string | undefined)[]> {
    const outcomes = await Promise.all(await startChats(index, count));
    return outcomes.map(outcome => (outcome.whole ? "whole" : `${outcome.status} ${outcome.failure}`));
}

async function startAgain(daemon: FleetDaemon): Promise<void> {
    await daemon.process.exited;
    fleet.startAgain(daemon);
    await fleet.waitReady(daemon);
}

const fourWhole = ["whole", "whole", "whole", "whole"];

beforeAll(() => fleet.start(), startTimeoutMs);
afterAll(() => fleet.close());

describe("a planned stop", () => {
    // A router is replaced while it streams answers. It must take no new caller and end what it has begun; a caller who
    // sees his answer break off would have to ask again.
    it("of a router cuts off no answer and exits with 0", async () => {
        const router = fleet.getRouter(0);
        const chats = await startChats(0, 4);
        router.process.send("SIGTERM");
        const outcomes = await Promise.all(chats);
        expect(outcomes.map(outcome => outcome.failure)).toEqual([undefined, undefined, undefined, undefined]);
        expect(await router.process.exited).toEqual({ code: 0, signal: undefined });
        expect(await runChats(1, 4)).toEqual(fourWhole);
        await startAgain(router);
    });

    // An agent is replaced while its target runs requests and more wait. What runs ends here; what waits goes back to its
    // router and runs elsewhere, once.
    it("of an agent cuts off no answer, runs nothing twice and exits with 0", async () => {
        const agent = fleet.getDaemon("agent-t1-1");
        const chats = await startChats(0, 8);
        const waiting = [...Array(8).keys()].map(number => sendChat(getUrl(1), "club", `late ${number} [tokens:20]`));
        agent.process.send("SIGTERM");
        const outcomes = await Promise.all([...chats, ...waiting]);
        expect(outcomes.filter(outcome => !outcome.whole)).toEqual([]);
        expect(await agent.process.exited).toEqual({ code: 0, signal: undefined });
        const runs = (await Promise.all(["t1-1", "t2-1"].map(target => fetchEngineRuns(fleet, target)))).flatMap(
            engine => engine.runs,
        );
        const digests = runs.map(run => run.promptDigest);
        expect(digests.length - new Set(digests).size).toBe(0);
        await startAgain(agent);
    });
});

describe("kill -9", () => {
    // A router dies in the middle of its answers. Its callers see their answers break off, never a short answer that
    // looks whole; callers of the other router notice nothing.
    it("of one router leaves the other serving", async () => {
        const router = fleet.getRouter(0);
        const doomed = await startChats(0, 2);
        const others = startChats(1, 4);
        router.process.send("SIGKILL");
        const failures = (await Promise.all(doomed)).map(outcome => outcome.failure);
        expect(failures).toEqual(["cut", "cut"]);
        expect((await Promise.all(await others)).filter(outcome => !outcome.whole)).toEqual([]);
        expect(await runChats(1, 4)).toEqual(fourWhole);
        await startAgain(router);
        expect(await runChats(0, 4)).toEqual(fourWhole);
    });

    // An agent dies. Requests that it held and had not answered are idempotent here, so the router asks another agent;
    // later ones go to the other agent at once. Calls that must not repeat are never run twice.
    it("of one agent leaves the others serving", async () => {
        const agent = fleet.getDaemon("agent-t1-1");
        agent.process.send("SIGKILL");
        expect(await runChats(0, 4)).toEqual(fourWhole);
        expect(await runChats(1, 4)).toEqual(fourWhole);
        await startAgain(agent);
        await waitUntil("the restarted agent's engine gets work again", async () => {
            const before = (await fetchEngineRuns(fleet, "t1-1")).runs.length;
            await runChats(0, 4);
            return (await fetchEngineRuns(fleet, "t1-1")).runs.length > before ? true : undefined;
        });
    });

    // The home agent dies while it runs a call that must not repeat: the caller is told "unknown", and a repeat through
    // either router never runs it a second time.
    it("of a home agent in the middle of a call never leads to a second run", async () => {
        const key = "killed-in-the-middle";
        const call = sendUntilRun(getUrl(0), "club", key);
        const home = await waitUntil("the call runs", async () => {
            for (const target of fleet.targets.filter(candidate => candidate.kind === "plain")) {
                const response = await fetch(`${fleet.getStandIn(target.name).url}/__runs`);
                const runs = (await response.json()) as { counts: Record<string, number> };
                if (runs.counts[key] !== undefined) {
                    return target.name;
                }
            }
            return undefined;
        });
        const agent = fleet.getDaemon(`agent-${home}`);
        agent.process.send("SIGKILL");
        const first = await call;
        const whileDown = await sendCall(getUrl(1), "club", key);
        await startAgain(agent);
        const afterwards = await waitUntil("the home is reached again", async () => {
            const answer = await sendCall(getUrl(1), "club", key);
            return answer.status === 503 ? undefined : answer;
        });
        expect([first, whileDown, afterwards].map(answer => answer.body.execution)).toEqual([
            "unknown",
            "unknown",
            "unknown",
        ]);
        expect((await countRunsByKey(fleet)).get(key)).toBe(1);
    });
});
