import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { build } from "esbuild";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { ProcessGroup } from "../fakes/processes.js";

const folder = mkdtempSync(join(tmpdir(), "lynxarch-launch-"));
const launcher = join(folder, "router.mjs");
const processes = new ProcessGroup();
/** Replaces the router program: reports when it starts to load, and loads slowly. */
const slowProgram = `
    require("node:fs").writeSync(1, "loading\\n");
    const endMs = Date.now() + 1500;
    while (Date.now() < endMs) {}
    setTimeout(() => { console.log("loaded"); process.exit(0); }, 50);
`;

describe("the launcher", () => {
    beforeAll(async () => {
        await build({
            entryPoints: ["deploy/launch.ts"],
            outfile: launcher,
            bundle: true,
            platform: "node",
            format: "esm",
            target: "node20",
        });
        writeFileSync(join(folder, "routerProgram.cjs"), slowProgram);
    });
    afterAll(async () => {
        await processes.close();
        rmSync(folder, { recursive: true, force: true });
    });

    // Operators may send SIGHUP to all routers while one of them is restarting. Without a handler before its program is loaded, the signal
    // terminates the process, and the platform has to start the router again, which prolongs the outage for its callers.
    it("survives SIGHUP while the program is loading", async () => {
        const router = processes.start("router", launcher, []);
        await router.waitForLine(/^loading$/);
        router.send("SIGHUP");
        expect(await router.exited).toEqual({ code: 0, signal: undefined });
        expect(router.listLines()).toEqual(['{"context":{},"message":"loading program"}', "loading", "loaded"]);
    });

    // A code cache of another Node.js version or other flags makes the start slower, but must not prevent it.
    it("compiles the program if the code cache is rejected", async () => {
        const rejectedCache = join(folder, "routerProgram.cjs.cache");
        copyFileSync(launcher, rejectedCache);
        const router = processes.start("router", launcher, []);
        expect((await router.exited).code).toBe(0);
        expect(router.listLines()).toContainEqual(expect.stringContaining("compiling"));
        rmSync(rejectedCache);
    });
});
