#!/usr/bin/env node
import { readFileSync } from "node:fs";
import { CancellationTokenSource } from "../base/cancellation.js";
import { commandList } from "./commandList.js";
import { runProgram } from "./program.js";
import { SystemContext } from "./systemContext.js";

function readVersion(): string {
    const file = new URL("../../package.json", import.meta.url);
    return (JSON.parse(readFileSync(file, "utf8")) as { version: string }).version;
}

const cancellation = new CancellationTokenSource();
for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => cancellation.cancel());
}
// An output that closes early (a pipe into head) is no fault of the command.
process.stdout.on("error", () => process.exit());

const exitCode = await runProgram(process.argv.slice(2), {
    version: readVersion(),
    commands: commandList,
    output: {
        print: line => process.stdout.write(`${line}\n`),
        printError: line => process.stderr.write(`${line}\n`),
    },
    createContext: ({ settingsFile, giveUpAfterMs }) =>
        new SystemContext(settingsFile ?? process.env["LYNXARCH_SETTINGS"], giveUpAfterMs, cancellation.token),
});
process.exitCode = exitCode;
