import { spawn } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { Fleet, fleetEnvironment } from "../fakes/fleet.js";
import { rootFolder } from "../fakes/processes.js";

const startTimeoutMs = 60_000;
const fleet = new Fleet({ dataCentres: 2, targetsPerDataCentre: 1, routers: 1, daemonFile: "src/daemon/main.ts" });
const settingsFile = join(fleet.folder, "cli.json");

interface ProcessRun {
    readonly code: number | undefined;
    readonly output: string;
}

/** Runs the tool as an operator does; paths, addresses and times are masked. */
async function runTool(
    line: string,
    env: NodeJS.ProcessEnv = { LYNXARCH_SETTINGS: settingsFile },
): Promise<ProcessRun> {
    const child = spawn(process.execPath, ["--import", "tsx", "src/cli/main.ts", ...line.split(" ")], {
        cwd: rootFolder,
        env: { ...process.env, ...env },
        stdio: ["ignore", "pipe", "pipe"],
    });
    const chunks: string[] = [];
    for (const output of [child.stdout, child.stderr]) {
        output.setEncoding("utf8").on("data", (text: string) => chunks.push(text));
    }
    const code = await new Promise<number | undefined>(resolve =>
        child.once("close", exit => resolve(exit ?? undefined)),
    );
    return { code, output: chunks.join("").replaceAll(fleet.folder, "FOLDER").trim() };
}

async function runJson<T>(line: string): Promise<T> {
    return JSON.parse((await runTool(line)).output) as T;
}

function writeSettings(name: string, settings: unknown): string {
    const file = join(fleet.folder, name);
    writeFileSync(file, typeof settings === "string" ? settings : JSON.stringify(settings));
    return file;
}

beforeAll(async () => {
    await fleet.start();
    writeSettings("cli.json", {
        environments: { production: { platformUrl: fleet.platform.url, daemons: [fleet.getRouter(0).address] } },
        secretFile: fleet.secretFile,
    });
}, startTimeoutMs);
afterAll(() => fleet.close());

describe("the command line", () => {
    it("has a help and a version for each command", async () => {
        expect(await runTool("datacentre out --help")).toMatchInlineSnapshot(`
          {
            "code": 0,
            "output": "Description
              Take a data centre out of service: nothing new starts there

            Usage
              $ lynxarch datacentre out <name> [options]

            Options
              --environment    trial or production  (default production)
              --wait           Wait until every reachable daemon has the change in force
              --settings       Settings file; LYNXARCH_SETTINGS when left out
              --timeout        Seconds to try while the platform does not answer  (default 15)
              --json           Print JSON
              -h, --help       Displays this message",
          }
        `);
        expect(await runTool("status --version")).toMatchInlineSnapshot(`
          {
            "code": 0,
            "output": "lynxarch, 0.1.0",
          }
        `);
        expect((await runTool("--help")).code).toBe(0);
    });

    it("exits with 2 and prints no stack on a fault of the command line or the settings", async () => {
        const bad = { environments: { production: { platformUrl: "nowhere" } }, colour: "red" };
        const runs = [
            await runTool("documents show"),
            await runTool("document"),
            await runTool("document shew"),
            await runTool("document check"),
            await runTool("status --envirnoment trial"),
            await runTool("status --environment moon"),
            await runTool("status", { LYNXARCH_SETTINGS: undefined }),
            await runTool(`status --settings ${writeSettings("bad.json", bad)}`),
            await runTool(`status --settings ${writeSettings("cut.json", "{")}`),
            await runTool("status --environment trial"),
        ];
        expect(runs.map(run => run.code)).toEqual(runs.map(() => 2));
        expect(runs.map(run => run.output)).toMatchInlineSnapshot(`
          [
            "ERROR
              Invalid command: documents show

            Run \`$ lynxarch --help\` for more info.",
            "lynxarch: "document" needs a further word; see lynxarch --help",
            "lynxarch: "document" does not know "shew"; see lynxarch --help",
            "ERROR
              Insufficient arguments!

            Run \`$ lynxarch document check --help\` for more info.",
            "lynxarch: unknown option --envirnoment",
            "lynxarch: --environment must be one of trial, production",
            "lynxarch: no settings file: give --settings FILE or set LYNXARCH_SETTINGS",
            "lynxarch: FOLDER/bad.json has faults:
            /environments/production/platformUrl: Invalid URL
            /colour: unknown key",
            "lynxarch: FOLDER/cut.json: not JSON",
            "lynxarch: settings: /environments/trial is not set",
          ]
        `);
    });
});

describe("operators of a running fleet", () => {
    interface Status {
        readonly daemons: readonly { daemonId: string; reachable: boolean; documentOffset: number; phase: string }[];
    }

    it("take a data centre out and see it in force on every daemon", async () => {
        const change = await runJson<{ offset: number; inForce: { daemons: number; behind: string[] } }>(
            "datacentre out dc-1 --wait --json",
        );
        expect([change.inForce.daemons, change.inForce.behind]).toEqual([3, []]);
        const status = await runJson<Status>("status --json");
        const atOffset = status.daemons.map(daemon => [daemon.daemonId, daemon.documentOffset === change.offset]);
        expect(atOffset).toEqual([
            ["agent-t1-1", true],
            ["agent-t2-1", true],
            ["router-1", true],
        ]);
        expect((await runTool("datacentre in dc-1 --wait")).code).toBe(0);
    });

    it("race: one wins, the other is told and changes nothing, also when the winner's answer is lost", async () => {
        // Two operators edit the same version of the document and apply it at the same time. The log takes one first and
        // loses the answer. Whoever is told "applied" must be in force; the other must be told that it is not.
        const { offset, document } = await runJson<{ offset: number; document: object }>("document show --json");
        const runs = await Promise.all(
            [0.31, 0.32].map(async retryRatio => {
                const limits = { ...fleet.document.limits, retryRatio };
                const file = writeSettings(`ratio-${retryRatio}.json`, { ...document, limits });
                await fleet.setPlatformFault("lose-answers", { count: 1 });
                return {
                    retryRatio,
                    ...(await runTool(`document apply ${file} --environment ${fleetEnvironment} --basis ${offset}`)),
                };
            }),
        );
        const winner = runs.find(run => run.code === 0);
        const shown = await runJson<{ document: { limits: { retryRatio: number } } }>("document show --json");
        expect(runs.map(run => run.code).sort()).toEqual([0, 3]);
        expect(shown.document.limits.retryRatio).toBe(winner?.retryRatio);
    });

    it("see the daemons while the platform is down, and are told what is unknown", async () => {
        await fleet.setPlatformFault("down");
        const status = await runJson<Status>("status --json");
        const show = await runTool("document show --timeout 1");
        await fleet.setPlatformFault("ok");
        expect(status.daemons.map(daemon => daemon.reachable)).toEqual([true, true, true]);
        expect(show.code).toBe(4);
    });
});
