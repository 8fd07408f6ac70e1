/**
 * Starts the router from its bundled program file, using the V8 code cache created at build time: after a power failure all routers
 * start at the same time, and callers would have to wait while the routers compile their code.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { fileURLToPath } from "node:url";
import { Script } from "node:vm";

/** Used only by the build: runs the program, then writes the code cache. */
const writeCacheOption = "--write-code-cache";
const programFile = fileURLToPath(new URL("routerProgram.cjs", import.meta.url));
const cacheFile = `${programFile}.cache`;

/** Reads the code cache; undefined if the build created none: V8 then compiles the program, which only makes the start slower. */
function readCache(): Buffer | undefined {
    try {
        return readFileSync(cacheFile);
    } catch (error) {
        if ((error as NodeJS.ErrnoException).code !== "ENOENT") {
            throw error;
        }
        return undefined;
    }
}

/**
 * Ignores SIGHUP until the program is loaded. Operators send it after changing the settings, also to a process that is just starting,
 * and without a handler it would terminate the process. No change is missed: the program reads the settings later and checks
 * their file every second.
 */
function handleHangUp(): void {
    process.on("SIGHUP", () => undefined);
}

function main(): void {
    handleHangUp();
    process.stdout.write(`${JSON.stringify({ context: {}, message: "loading program" })}\n`);
    const source = `(function (require) {${readFileSync(programFile, "utf8")}\n})`;
    const script = new Script(source, { filename: programFile, cachedData: readCache() });
    if (script.cachedDataRejected === true) {
        const message = "code cache was created with another Node.js version or other flags; compiling the program";
        process.stdout.write(`${JSON.stringify({ context: { file: cacheFile }, message })}\n`);
    }
    const program = script.runInThisContext() as (require: NodeJS.Require) => void;
    program(createRequire(import.meta.url));
    if (process.argv.includes(writeCacheOption)) {
        writeFileSync(cacheFile, script.createCachedData());
    }
}

main();
