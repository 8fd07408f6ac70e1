import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";
import type { FleetEvent } from "../src/events/fleetEvent.js";
import { createOpenAi, getKey, issueKey, sendCall } from "../test/fakes/callers.js";
import { Fleet } from "../test/fakes/fleet.js";
import { modelService, plainService } from "../test/fakes/fleetDocument.js";
import { countRunsByKey } from "../test/fakes/targetRuns.js";

const { values } = parseArgs({ options: { keep: { type: "boolean", default: false } } });
const longestRunMs = 55_000;

const fleet = new Fleet({
    dataCentres: 3,
    targetsPerDataCentre: 2,
    routers: 2,
    daemonFile: "dist/daemon/main.js",
});

function printHeading(text: string): void {
    console.log(`\n== ${text}`);
}

/** Runs `lynxarch` as an operator would, and prints what it prints. */
async function runOperator(...args: readonly string[]): Promise<void> {
    console.log(`$ lynxarch ${args.join(" ").replaceAll(`${fleet.folder}/`, "")}`);
    const settings = fleet.writeCliSettings();
    const operator = fleet.group.start("lynxarch", "dist/cli/main.js", [...args, "--settings", settings]);
    const exit = await operator.exited;
    operator.listLines().forEach(line => console.log(line));
    if (exit.code !== 0) {
        throw new Error(`lynxarch ended with ${exit.code ?? exit.signal}`);
    }
}

function applyDocument(): Promise<void> {
    const file = join(fleet.folder, "document.json");
    writeFileSync(file, JSON.stringify(fleet.document, undefined, 4));
    return runOperator("document", "apply", file, "--environment", "production");
}

function printAddresses(): void {
    for (const daemon of fleet.daemons) {
        const callers = daemon.callersUrl === undefined ? "" : `, callers at ${daemon.callersUrl}`;
        console.log(`${daemon.name.padEnd(11)} ${daemon.dataCentre}  control at ${daemon.address}${callers}`);
    }
}

/** Sends a streamed chat request by the usual client library and prints the answer as it comes. */
async function runChat(): Promise<string> {
    const client = createOpenAi(fleet.getRouter(0).callersUrl ?? "", "department");
    const { data, response } = await client.chat.completions
        .create({
            model: modelService,
            messages: [{ role: "user", content: "Rebuild the route of bus 7. [tokens:8]" }],
            stream: true,
            stream_options: { include_usage: true },
        })
        .withResponse();
    for await (const chunk of data) {
        process.stdout.write(chunk.choices[0]?.delta.content ?? "");
        if (chunk.usage) {
            process.stdout.write(`\nusage: ${JSON.stringify(chunk.usage)}\n`);
        }
    }
    return response.headers.get("x-request-id") ?? "";
}

/** Makes a call that must not run twice, repeats it through the other router, and shows how often it ran. */
async function runBooking(): Promise<void> {
    const key = await issueKey(fleet.getRouter(0).callersUrl ?? "", "club");
    for (const index of [0, 1]) {
        const outcome = await sendCall(fleet.getRouter(index).callersUrl ?? "", "club", key, '{"seat":"12A"}');
        console.log(`through ${fleet.getRouter(index).name}: ${outcome.status} ${outcome.text}`);
        if (outcome.status !== 200) {
            throw new Error("the booking was not answered");
        }
    }
    const runs = (await countRunsByKey(fleet)).get(key) ?? 0;
    console.log(`the service ran it ${runs} time(s)`);
    if (runs !== 1) {
        throw new Error("the booking must run exactly once here");
    }
}

/** Prints what the daemons recorded of a request, in causal order. */
async function printWay(requestId: string): Promise<void> {
    const pages = await Promise.all(fleet.daemons.map(daemon => fleet.fetchEvents(daemon)));
    const events = pages.flatMap(page => page ?? []).filter(event => event.requestId === requestId);
    const getOrder = (event: FleetEvent): number => event.time.wallMs;
    events.sort((a, b) => getOrder(a) - getOrder(b) || a.time.counter - b.time.counter);
    for (const event of events) {
        const target = event.target === undefined ? "" : ` target ${event.target}`;
        console.log(`${event.daemon.padEnd(11)} ${event.kind}${target} ${event.reason ?? ""}`);
    }
}

function printCurl(): void {
    const url = fleet.getRouter(0).callersUrl;
    const key = getKey("club");
    console.log(`curl -N ${url}/v1/chat/completions -H 'Authorization: Bearer ${key}' \\
  -d '{"model":"${modelService}","stream":true,"messages":[{"role":"user","content":"hello"}]}'
curl ${url}/services/${plainService}/seats -H 'Authorization: Bearer ${key}' -H 'Idempotency-Key: seat-1' -d '{}'
node dist/cli/main.js status --environment production --settings ${fleet.writeCliSettings()}`);
}

async function runDemo(): Promise<void> {
    printHeading("start: platform, 6 targets, the document, 6 agents, 2 routers");
    await fleet.start(applyDocument);
    printAddresses();
    await runOperator("status", "--environment", "production");
    printHeading("a streamed chat request through router-1");
    const requestId = await runChat();
    printHeading("a booking that must not run twice, sent through both routers with one key");
    await runBooking();
    printHeading(`the way of request ${requestId}`);
    await printWay(requestId);
}

async function main(): Promise<void> {
    const timer = setTimeout(() => {
        console.error(`the demo did not end within ${longestRunMs} ms`);
        process.exit(1);
    }, longestRunMs);
    try {
        await runDemo();
        clearTimeout(timer);
        if (values.keep) {
            printHeading("stays up until Ctrl-C; try");
            printCurl();
            await new Promise<void>(resolve => {
                process.once("SIGINT", resolve);
                process.once("SIGTERM", resolve);
            });
        }
        printHeading("end");
    } finally {
        await fleet.close();
    }
}

await main().then(
    () => process.exit(0),
    (error: unknown) => {
        console.error(error);
        process.exit(1);
    },
);
