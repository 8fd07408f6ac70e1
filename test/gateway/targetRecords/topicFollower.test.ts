import { okAsync } from "neverthrow";
import { expect, it } from "vitest";
import { ManualClock } from "../../../src/base/clock.js";
import { SeededRandom } from "../../../src/base/random.js";
import { TopicFollower, type KeyChange } from "../../../platform/topicFollower.js";
import { waitUntil } from "../gatewayFixture.js";

const settleMs = 4_000;

/** Follows a topic whose store comes back from an older copy, and lists the changes until then and after the store has settled. */
async function listChanges(before: readonly string[], copy: readonly string[]): Promise<readonly string[]> {
    const clock = new ManualClock();
    const changes: string[] = [];
    let isRestored = false;
    let reads = 0;
    let resume = (): void => undefined;
    const getEpoch = (): string => (isRestored ? "2" : "1");
    const follower = new TopicFollower({
        client: {
            read: () => {
                reads += 1;
                return okAsync({ kind: "records", epoch: getEpoch(), endOffset: 0, records: [] });
            },
            readNewest: () => {
                const keys = isRestored ? copy : before;
                const records = keys.map(key => ({ key, value: Buffer.from("{}"), offset: 0 }));
                return okAsync({ epoch: getEpoch(), endOffset: 0, records });
            },
        },
        topic: "t",
        clock,
        random: new SeededRandom(1),
        sleep: () => new Promise(resolve => (resume = resolve)),
        waitMs: 0,
        minPeriodMs: 10,
        responseTimeoutMs: 100,
        pauseMs: 10,
        outageMs: 1_000,
        settleMs,
        keepsMissingKeys: true,
        appliesUnknownKey: key => key.startsWith("evacuate/"),
    });
    follower.onDidChange(({ key, value, mayBeOutdated }: KeyChange) =>
        changes.push(`${key} ${value === undefined ? "removed" : "set"}${mayBeOutdated ? ", may be outdated" : ""}`),
    );
    const runReads = async (count: number): Promise<void> => {
        for (const untilReads = reads + count; reads < untilReads;) {
            resume();
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    follower.start();
    await waitUntil(() => follower.isComplete);
    await runReads(2);
    isRestored = true;
    await runReads(2);
    changes.push("settled");
    clock.advance(settleMs);
    await runReads(2);
    follower.dispose();
    return changes;
}

// A router that was cut off from the store while an evacuation was written ignored it until the store had settled, as it is not written again.
it("an evacuation that only the older copy has is applied at once, other unknown keys once the store has settled", async () => {
    expect(await listChanges(["config"], ["config", "evacuate/dc-a", "rollout/app"])).toMatchInlineSnapshot(`
      [
        "config set",
        "config set, may be outdated",
        "evacuate/dc-a set, may be outdated",
        "settled",
        "config set",
        "evacuate/dc-a set",
        "rollout/app set",
      ]
    `);
});
