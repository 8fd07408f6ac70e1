/**
 * Starts the router's program from its one file, with the code that V8 compiled when the file was made: after a loss of power all
 * routers start at once, and callers wait for as long as they compile.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { fileURLToPath } from "node:url";
import { Script } from "node:vm";

/** Used by the build alone: runs the program, then notes the code that was compiled for it. */
const writeCacheOption = "--write-code-cache";
const programFile = fileURLToPath(new URL("routerProgram.cjs", import.meta.url));
const cacheFile = `${programFile}.cache`;

/** The compiled code; undefined where the build made none: then V8 compiles, which is slower and otherwise the same. */
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
 * Operators send SIGHUP when they have changed the settings, also to a process that is just starting. Without a handler that
 * ends it, and the program's own is there only once it is loaded. Nothing is missed: the program reads the settings after
 * this, and looks at their file each second.
 */
function handleHangUp(): void {
    process.on("SIGHUP", () => undefined);
}

function main(): void {
    handleHangUp();
    process.stdout.write(`${JSON.stringify({ context: {}, message: "loading the program" })}\n`);
    const source = `(function (require) {${readFileSync(programFile, "utf8")}\n})`;
    const script = new Script(source, { filename: programFile, cachedData: readCache() });
    if (script.cachedDataRejected === true) {
        const message = "the compiled code is of another Node.js version or other flags; compiling anew";
        process.stdout.write(`${JSON.stringify({ context: { file: cacheFile }, message })}\n`);
    }
    const program = script.runInThisContext() as (require: NodeJS.Require) => void;
    program(createRequire(import.meta.url));
    if (process.argv.includes(writeCacheOption)) {
        writeFileSync(cacheFile, script.createCachedData());
    }
}

main();
