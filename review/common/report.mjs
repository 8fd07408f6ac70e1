/** Writes record.txt of a case and ends the process with the case's exit code. */
import { writeFileSync } from "node:fs";

const startedAtMs = performance.now();
const lines = [];
const details = [];

export const hasTrouble = process.env.TROUBLE !== "0";

/** Adds a line with the time since the start of the case in seconds. */
export function record(text) {
    lines.push(`${((performance.now() - startedAtMs) / 1_000).toFixed(3).padStart(8)} ${text}`);
}

/** Adds to the end of the record each request: when it was sent, how it was answered, and which engines ran it. */
export function list(seen, arrivals) {
    const runs = new Map();
    for (const { id, engine } of arrivals) {
        runs.set(id, [...(runs.get(id) ?? []), engine]);
    }
    for (const { id, path, sentAtMs, tookMs, status, error } of seen) {
        const sent = ((sentAtMs - startedAtMs) / 1_000).toFixed(3);
        const ran = runs.get(id)?.join(" ") ?? "none";
        details.push(`sent ${sent} ${path} ${id}: ${status ?? error} after ${tookMs} ms; run by ${ran}`);
    }
}

/** Runs a case: `main` resolves to 1 if the rule was broken, 0 if it held, 2 if the case says nothing. */
export async function run(caseUrl, main) {
    let code = 2;
    try {
        code = await main();
    } catch (error) {
        record(`the case could not run: ${error.message}`);
    }
    const text = `${lines.join("\n")}\n${hasTrouble ? "with" : "without"} the disruption: exit ${code}\n`;
    writeFileSync(new URL("record.txt", caseUrl), `${text}${details.join("\n")}\n`);
    process.stdout.write(text);
    process.exit(code);
}
