import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { decodeTarget } from "../../platform/records.js";
import { createPromptHeaders, GatewayFixture, waitUntil } from "./gatewayFixture.js";

const fixture = { current: new GatewayFixture() };
const plainCalls = 12;
/** An engine of the fixture runs eight streams at once. */
const streamCalls = 4;

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    await fixture.current.start();
});

afterEach(() => fixture.current.dispose());

const entry = {
    service: "app",
    address: "127.0.0.1:9",
    zone: "dc-a",
    version: "v1",
    slots: 8,
    state: "ready",
    cold_left_ms: 0,
    seqno: 1,
    born: 1_700_000_000_000,
};
const longName = "n".repeat(10_000);

function createNested(depth: number): string {
    return `${"[".repeat(depth)}${"]".repeat(depth)}`;
}

/** The entry's JSON text with one field replaced by a JSON text, which may have no JavaScript value. */
function createEntry(field: keyof typeof entry, text: string): string {
    return JSON.stringify({ ...entry, [field]: "REPLACED" }).replace('"REPLACED"', text);
}

/** Entries that the whole router is tested with: what each of its parts might do with a value differs. */
const testedEntries: readonly (readonly [name: string, text: string])[] = [
    ["a port out of range", createEntry("address", '"127.0.0.1:70000"')],
    ["an IP address out of range", createEntry("address", '"127.0.0.999:80"')],
    ["a path in the address", createEntry("address", '"127.0.0.1/x:80"')],
    ["a bracket in the address", createEntry("address", '"[127.0.0.1:80"')],
    ["a deeply nested address", createEntry("address", createNested(100_000))],
    ["slots beyond all integers", createEntry("slots", "1e300")],
    ["a cold time beyond all dates", createEntry("cold_left_ms", "1e300")],
    ["a start time beyond all dates", createEntry("born", String(Number.MAX_SAFE_INTEGER))],
    ["a version of 10,000 characters", createEntry("version", `"${longName}"`)],
    ["bytes that are not UTF-8", "\u0000\ufffd"],
];

const rejectedEntries: readonly (readonly [name: string, text: string])[] = [
    ...testedEntries,
    ["port 0", createEntry("address", '"127.0.0.1:0"')],
    ["the first port out of range", createEntry("address", '"127.0.0.1:65536"')],
    ["no port", createEntry("address", '"127.0.0.1"')],
    ["a short IP address", createEntry("address", '"127.1:80"')],
    ["user information in the address", createEntry("address", '"user@127.0.0.1:80"')],
    ["a fragment in the address", createEntry("address", '"127.0.0.1#x:80"')],
    ["a control character in the address", createEntry("address", '"127.0.0.1\\u0001:80"')],
    ["a deeply nested service", createEntry("service", createNested(100_000))],
    ["a deeply nested state", createEntry("state", createNested(100_000))],
    ["slots beyond all numbers", createEntry("slots", "1e999")],
    ["a fraction of a slot", createEntry("slots", "1e-300")],
    ["a cold time beyond all numbers", createEntry("cold_left_ms", "1e999")],
    ["a start time beyond all integers", createEntry("born", "1e300")],
    ["a start time before all dates", createEntry("born", "-1")],
    ["a zone of 10,000 characters", createEntry("zone", `"${longName}"`)],
    ["a service of 10,000 characters", createEntry("service", `"${longName}"`)],
    ["an unknown state", createEntry("state", '"gone"')],
    ["a list in place of the entry", "[]"],
    ["no JSON", "{"],
];

/** Sends requests, and lists the distinct outcomes. */
async function listOutcomes(
    path: string,
    prefix: string,
    { router = 0, calls = plainCalls } = {},
): Promise<readonly string[]> {
    const responses = await Promise.all(
        Array.from({ length: calls }, (...[, index]) =>
            fixture.current
                .send({ path, headers: createPromptHeaders(`${prefix}${index}`), body: "b" }, router)
                .then(({ status, isIncomplete }) => `${status}${isIncomplete ? " incomplete" : ""}`)
                .catch(() => "closed without a response"),
        ),
    );
    return [...new Set(responses)];
}

describe("an entry of another writer among those of the targets", () => {
    // A target that no connection can be opened to would fail requests, and an absurd number would mislead placement.
    it.each(rejectedEntries)("with %s names no target", (...[, text]) => {
        expect(decodeTarget("odd-1", Buffer.from(text)).isErr()).toBe(true);
    });

    it.each([
        ["a line break", "odd\nid"],
        ["a character beyond ASCII", "odd-\u4e2d"],
        ["no characters", ""],
    ])("whose id has %s names no target", (...[, id]) => {
        expect(decodeTarget(id, Buffer.from(JSON.stringify(entry))).isErr()).toBe(true);
    });

    it.each([
        ["a deeply nested field that is not known", createEntry("seqno", createNested(100_000))],
        ["the name of an object's member as its service", createEntry("service", '"__proto__"')],
        ["the largest port", createEntry("address", '"127.0.0.1:65535"')],
        ["a host name", createEntry("address", '"engine-1.Example:80"')],
    ])("with %s is decoded", (...[, text]) => {
        expect(decodeTarget("odd-1", Buffer.from(text)).isOk()).toBe(true);
    });

    // A router that used the entry, or that ended or stopped to follow the list, would fail callers' requests.
    it.each(testedEntries)("with %s has no effect on requests and on the entries after it", async (...[, text]) => {
        await fixture.current.addTarget("app", "app-1");
        await fixture.current.addTarget("engines", "engine-1");
        fixture.current.store.write("keyed.servers", "odd-1", text);
        fixture.current.store.write("keyed.servers", "odd-2", text.replace('"app"', '"engines"'));
        await fixture.current.addRouter();
        const atStart = [
            await listOutcomes("/book/x", "a"),
            await listOutcomes("/once/x", "s", { calls: streamCalls }),
        ];
        fixture.current.store.write("keyed.servers", "odd-3", text);
        const later = await fixture.current.addTarget("app", "app-2");
        await waitUntil(async () => {
            await listOutcomes("/find/x", "w");
            return later.received.length > 0;
        });
        expect({ atStart, later: await listOutcomes("/book/x", "b") }).toEqual({
            atStart: [["200"], ["200"]],
            later: ["200"],
        });
    });

    // The requests that are sent when the entry changes go to the targets that remain.
    it("that was a sound one before ends the use of its target alone", async () => {
        await fixture.current.addTarget("app", "app-1");
        const changed = await fixture.current.addTarget("app", "app-2");
        await fixture.current.addRouter();
        const outcomes = new Set<string>();
        let isUsed = true;
        fixture.current.addEntry(changed, "app", { address: "127.0.0.1:70000" });
        await waitUntil(async () => {
            changed.received.length = 0;
            (await listOutcomes("/book/x", "a")).forEach(outcome => outcomes.add(outcome));
            const wasUsed = isUsed;
            isUsed = changed.received.length > 0;
            return !wasUsed && !isUsed;
        });
        expect([...outcomes]).toEqual(["200"]);
    });

    // A router that starts during an outage of the store gets the entry from a peer.
    it("has no effect on a router that receives it in a snapshot", async () => {
        await fixture.current.addTarget("app", "app-1");
        testedEntries.forEach(([, text], index) => fixture.current.store.write("keyed.servers", `odd-${index}`, text));
        await fixture.current.addRouter();
        fixture.current.store.condition = "busy";
        await fixture.current.addRouter();
        expect(await listOutcomes("/book/x", "a", { router: 1 })).toEqual(["200"]);
    });
});
