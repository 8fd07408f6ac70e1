import { encode } from "@msgpack/msgpack";
import fc from "fast-check";
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import { describe, expect, it } from "vitest";
import { CancellationTokenSource } from "../../src/base/cancellation.js";
import { decodeGrantMessage } from "../../src/gateway/grants/grantMessage.js";
import { decodePeerMessage } from "../../src/gateway/peers/peerMessage.js";
import { decodeRelayEnvelope } from "../../src/gateway/peers/relayEnvelope.js";
import { decodeTotalsMessage } from "../../src/gateway/peers/totalsMessage.js";
import { decodeCrashMessage } from "../../src/gateway/quarantine/crashMessage.js";
import { decodePartMessage } from "../../src/gateway/quarantine/partMessage.js";
import { decodeRolloutMessage, encodeRolloutMessage } from "../../src/gateway/rollouts/rolloutMessage.js";
import { decodeStreamVersionMessage } from "../../src/gateway/streams/streamVersionMessage.js";
import { PartTopic } from "../../platform/partTopic.js";
import { QuarantineTopic } from "../../platform/quarantineTopic.js";
import { decodeConfiguration, decodeTarget } from "../../platform/records.js";
import { decodeRolloutOrder, decodeRolloutStatus, RolloutTopic } from "../../platform/rolloutTopic.js";
import { StoreError, type RecordStore } from "../../platform/storeClient.js";
import { encodeVersionRecord, VersionTopic } from "../../platform/versionTopic.js";
import { createConfiguration } from "./gatewayFixture.js";

const runs = { seed: 55, numRuns: 400 };
const nested = `${"[".repeat(50_000)}${"]".repeat(50_000)}`;
const oddTexts = [nested, "1e999", "1e300", "-1e300", "0.5", "-1", "null", "true", '""', "{}", "[]", '"__proto__"'];
const latest = "9999-12-31T23:59:59Z";

/** Sound records, each with all of its fields. */
const records: Readonly<Record<string, object>> = {
    target: {
        service: "app",
        address: "10.0.0.1:80",
        zone: "dc-a",
        version: "v1",
        slots: 8,
        state: "ready",
        cold_left_ms: 0,
        seqno: 1,
        born: 1,
    },
    configuration: createConfiguration(1),
    order: { service: "app", target: "v2", duration_s: 60 },
    status: {
        service: "app",
        target: "v2",
        state: "running",
        step: "ramp",
        started_at: latest,
        reason: "ordered",
        rejected: ["v0"],
    },
    versions: { observed_from: latest, first: true, versions: [{ version: "v1", last_seen: latest }] },
    heldParts: { service: "app", parts: ["aa"], heldUntil: latest, holdMs: 1 },
    heldRequest: { prefixHash: 1, incarnations: [1], heldUntil: latest, holdMs: 1 },
};

/** A sound record's text, with one of its values, at any depth, replaced by an odd one. */
const oddRecord = fc
    .tuple(fc.constantFrom(...Object.keys(records)), fc.nat(), fc.constantFrom(...oddTexts))
    .map(([kind, position, odd]) => {
        const text = JSON.stringify(records[kind]);
        const values = [...text.matchAll(/(?<=[:[,])("[^"]*"|-?[\d.]+|true|false)(?=[,\]}])/g)];
        const value = values[position % values.length];
        return text.slice(0, value.index) + odd + text.slice(value.index + value[0].length);
    });

/** A store whose topics all hold the record, under the keys of all of its readers. */
function createStore(value: Buffer): RecordStore {
    const fail = (): ResultAsync<never, StoreError> => errAsync(new StoreError("not simulated"));
    const stored = ["app", "rollout/app", "d".repeat(32)].map((key, offset) => ({ key, value, offset }));
    return {
        readNewest: () => okAsync({ records: stored, endOffset: stored.length, epoch: "1" }),
        read: fail,
        append: fail,
        appendAt: fail,
    };
}

/** Reads the record with all readers; rejects if one of them throws. */
async function readRecord(text: string): Promise<void> {
    const value = Buffer.from(text);
    const { token } = new CancellationTokenSource();
    const client = createStore(value);
    decodeTarget("target-1", value);
    decodeConfiguration(value);
    decodeRolloutOrder("app", value);
    decodeRolloutStatus(value).map(status => status.startedAt.toISOString());
    (await new RolloutTopic(client).read("app", token))._unsafeUnwrap();
    const versions = (await new VersionTopic(client).read(token))._unsafeUnwrap();
    versions.records.forEach(record => encodeVersionRecord(record));
    const heldParts = (await new PartTopic(client).read(token))._unsafeUnwrap();
    heldParts.forEach(({ heldUntil }) => heldUntil.toISOString());
    const heldRequests = (await new QuarantineTopic(client).read(token))._unsafeUnwrap();
    heldRequests.forEach(({ heldUntil }) => heldUntil.toISOString());
}

describe("a record with an odd value in any of its fields", () => {
    // Whatever another writer left there, the reader goes on: the value is rejected, or has no effect.
    it("is read without an exception", async () => {
        await fc.assert(
            fc.asyncProperty(oddRecord, async text => {
                await readRecord(text);
            }),
            runs,
        );
    });

    // A duration that is infinite once converted would never end, and can't be reported.
    it("is no roll-out order if its duration is absurd", () => {
        const order = { service: "app", target: "v2" };
        const durations = [1e308, 2_592_001, 0, -1].map(duration =>
            decodeRolloutOrder("app", Buffer.from(JSON.stringify({ ...order, duration_s: duration }))).isOk(),
        );
        expect(durations).toEqual([false, false, false, false]);
    });
});

describe("a message of a router with odd contents", () => {
    const decoders = [
        decodePeerMessage,
        decodeTotalsMessage,
        decodeRelayEnvelope,
        decodeGrantMessage,
        decodeCrashMessage,
        decodePartMessage,
        decodeRolloutMessage,
        decodeStreamVersionMessage,
    ] as const;
    const codes = [17, 18, 19, 20, 21, 33, 35, 49, 65, 81, 82, 83, 97];
    const leaf = fc.oneof(
        fc.constantFrom(Number.MAX_SAFE_INTEGER, Number.MAX_VALUE, Number.NaN, -1, 0.5, "", "__proto__", undefined),
        fc.nat(),
        fc.string(),
        fc.boolean(),
        fc.date({ noInvalidDate: true }),
        fc.uint8Array({ maxLength: 8 }),
    );
    const { list } = fc.letrec(tie => ({
        list: fc.array(fc.oneof({ depthSize: "small" }, leaf, tie("list")), { maxLength: 14 }),
    }));

    // No datagram may end a router.
    it("is decoded without an exception", () => {
        fc.assert(
            fc.property(fc.constantFrom(...codes), list, (code, values) => {
                const data = encode([code, ...(values as unknown[])]);
                for (const decode of decoders) {
                    expect(typeof decode(data).isErr()).toBe("boolean");
                }
            }),
            { ...runs, numRuns: 1_000 },
        );
    });

    it("is decoded without an exception however deeply it is nested", () => {
        for (const code of codes) {
            const data = Buffer.concat([Buffer.from([0x92, code]), Buffer.alloc(60_000, 0x91), Buffer.from([1])]);
            expect(decoders.map(decode => decode(data).isErr())).toEqual(decoders.map(() => true));
        }
    });

    // The start of the roll-out is computed from its age; one before all dates could not be written to the store.
    it("is no report on a roll-out if its age is absurd", () => {
        const report = {
            incarnation: 1,
            service: "app",
            version: "v2",
            step: "ramp",
            baselineRunning: 0,
            isBad: false,
            evidence: { routes: [], disconnects: [] },
        } as const;
        const results = [1_000, Number.MAX_SAFE_INTEGER].map(ageMs =>
            decodeRolloutMessage(encodeRolloutMessage({ ...report, ageMs })).isOk(),
        );
        expect(results).toEqual([true, false]);
    });
});
