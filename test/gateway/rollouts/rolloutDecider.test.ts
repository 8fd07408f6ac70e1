import { okAsync, ResultAsync } from "neverthrow";
import { expect, it } from "vitest";
import { CancellationTokenSource } from "../../../src/base/cancellation.js";
import { ManualClock } from "../../../src/base/clock.js";
import { NoopLogger } from "../../../src/base/log.js";
import { RolloutDecider } from "../../../src/gateway/rollouts/rolloutDecider.js";
import type { RolloutRecords, RolloutStatus, StoredRollout } from "../../../src/gateway/rollouts/rolloutRecords.js";
import { ServiceRollout } from "../../../src/gateway/rollouts/serviceRollout.js";

const order = { service: "app", version: "v2", durationMs: 10_000 };
const running: RolloutStatus = {
    service: "app",
    version: "v2",
    state: "running",
    step: "canary",
    startedAt: new Date("2026-01-01T00:00:00Z"),
    reason: "",
    rejectedVersions: [],
};
const ended: RolloutStatus = { ...running, state: "complete", step: "switch" };

/** A decider that has found its roll-out's time to be over and reads the store, whose answer the test gives. */
function startWrite(known: RolloutStatus = running): {
    readonly rollout: ServiceRollout;
    readonly written: RolloutStatus[];
    readonly answer: (stored: StoredRollout) => Promise<void>;
} {
    const clock = new ManualClock();
    const rollout = new ServiceRollout(order, { share: 0.1, slack: 0 }, 1, [], clock);
    const written: RolloutStatus[] = [];
    let resolveRead: (stored: StoredRollout) => void = () => undefined;
    const records: RolloutRecords = {
        read: () => ResultAsync.fromSafePromise(new Promise<StoredRollout>(resolve => (resolveRead = resolve))),
        write: status => {
            written.push(status);
            return okAsync("written");
        },
    };
    const source = { computeCapacityRatio: () => 1, listTargets: () => [] };
    const { token } = new CancellationTokenSource();
    const decider = new RolloutDecider(rollout, { records, clock, logger: new NoopLogger(), token, source });
    rollout.applyStatus(known);
    decider.chooseDeciders(["router-1"], "router-1");
    clock.advance(order.durationMs);
    decider.advance(["router-1"]);
    const answer = async (stored: StoredRollout): Promise<void> => {
        resolveRead(stored);
        await new Promise(resolve => setImmediate(resolve));
    };
    return { rollout, written, answer };
}

it("writes the step that was decided on where the store still holds what it was decided on", async () => {
    const { written, answer } = startWrite();
    await answer({ status: running, endOffset: 1 });
    expect(written.map(({ state }) => state)).toEqual(["rolled-back"]);
});

// A router that stood still decides on what it knew before; the end that another router wrote meanwhile must not be taken back.
it("writes nothing where another router has written meanwhile", async () => {
    const { written, answer } = startWrite();
    await answer({ status: ended, endOffset: 2 });
    expect(written).toEqual([]);
});

// The same with the news of the end arriving from the feed before the answer of the read.
it("writes nothing where it learns of the end while it reads", async () => {
    const { rollout, written, answer } = startWrite();
    rollout.applyStatus(ended);
    await answer({ status: ended, endOffset: 2 });
    expect(written).toEqual([]);
});

// The store comes back from an older copy, without the step that was written last.
it("writes over a status that is behind the one that is known", async () => {
    const { written, answer } = startWrite({ ...running, step: "watch" });
    await answer({ status: running, endOffset: 1 });
    expect(written.map(({ state }) => state)).toEqual(["rolled-back"]);
});

// An order that is taken back before anything was written has nothing to roll back; without an end its reports would go on for ever.
it("is done where the order is taken back before its roll-out began", () => {
    const clock = new ManualClock();
    const rollout = new ServiceRollout(order, { share: 0.1, slack: 0 }, 1, [], clock);
    const records: RolloutRecords = {
        read: () => okAsync({ status: undefined, endOffset: 0 }),
        write: () => okAsync("written"),
    };
    const source = { computeCapacityRatio: () => 1, listTargets: () => [] };
    const { token } = new CancellationTokenSource();
    const decider = new RolloutDecider(rollout, { records, clock, logger: new NoopLogger(), token, source });
    const before = decider.isActive;
    rollout.withdraw();
    expect([before, decider.isActive]).toEqual([true, false]);
});
