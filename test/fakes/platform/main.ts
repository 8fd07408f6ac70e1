import { parseArgs } from "node:util";
import { startPlatform } from "./server.js";

const { values } = parseArgs({
    options: {
        port: { type: "string" },
        "retention-ms": { type: "string" },
        "vm-lag-ms": { type: "string" },
    },
});

/** A whole number from the command line. */
function parseOption(name: keyof typeof values): number | undefined {
    const text = values[name];
    if (text === undefined) {
        return undefined;
    }
    const value = Number(text);
    if (!Number.isInteger(value) || value < 0) {
        console.error(`--${name} must be a whole number`);
        process.exit(2);
    }
    return value;
}

const platform = await startPlatform({
    port: parseOption("port"),
    retentionMs: parseOption("retention-ms"),
    vmLagMs: parseOption("vm-lag-ms"),
});
console.log(`ready ${platform.port}`);
for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.on(signal, () => {
        void platform.close().then(() => process.exit(0));
    });
}
