import { readFileSync } from "node:fs";

/** The package's version. */
export function readVersion(): string {
    const text = readFileSync(new URL("../../package.json", import.meta.url), "utf8");
    return (JSON.parse(text) as { version: string }).version;
}
