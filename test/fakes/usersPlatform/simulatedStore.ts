import { err, ok, ResultAsync, type Result } from "neverthrow";
import type { CancellationToken } from "../../../src/base/cancellation.js";
import { sleepOnTimer } from "../../../src/base/sleep.js";
import {
    StoreError,
    type LogPage,
    type NewestRecords,
    type ReadTimes,
    type RecordStore,
} from "../../../platform/storeClient.js";

/**
 * How the store behaves towards a caller. `stalled`: reads that wait for a change get no answer, though the store is up; `losing`: the
 * answers of reads that begin meanwhile are lost.
 */
export type SimulatedCondition = "up" | "refusing" | "silent" | "resetting" | "throttling" | "stalled" | "losing";

interface Topic {
    readonly newest: Map<string, Buffer>;
    records: Buffer[];
    firstOffset: number;
}

const answerMs = 4;
const pollMs = 10;
const newestTimeoutMs = 1_500;

/** Stand-in for the users' store without sockets: all of its time passes on timers, so that tests decide how it passes. */
export class SimulatedStore implements RecordStore {
    private readonly topics = new Map<string, Topic>();
    private era = 1;
    public condition: SimulatedCondition = "up";
    /** Reads of changes that were answered. */
    public answers = 0;

    /** Writes a record; undefined drops the key. */
    public write(topicName: string, key: string, value: object | undefined): void {
        const topic = this.openTopic(topicName);
        const name = Buffer.from(key);
        const data = Buffer.from(value === undefined ? "" : JSON.stringify(value));
        topic.records.push(Buffer.concat([Buffer.from([name.length]), name, data]));
        if (value === undefined) {
            topic.newest.delete(key);
        } else {
            topic.newest.set(key, data);
        }
    }

    /** Deletes all records; the newest of each key stay. */
    public removeHistory(topicName: string): void {
        const topic = this.openTopic(topicName);
        topic.firstOffset += topic.records.length;
        topic.records = [];
    }

    /** What a topic holds, for {@link resumeFromCopy}. */
    public takeCopy(topicName: string): ReadonlyMap<string, Buffer> {
        return new Map(this.openTopic(topicName).newest);
    }

    /** Comes back from a copy; its offsets begin anew. */
    public resumeFromCopy(topicName: string, copy: ReadonlyMap<string, Buffer>): void {
        this.era += 1;
        this.topics.set(topicName, { newest: new Map(copy), records: [], firstOffset: 0 });
    }

    public read(
        topicName: string,
        fromOffset: number,
        { waitMs, timeoutMs }: ReadTimes,
        token: CancellationToken,
    ): ResultAsync<LogPage, StoreError> {
        const isLost = this.condition === "losing";
        return new ResultAsync(
            this.answer(timeoutMs, token, () =>
                isLost ? Promise.resolve(undefined) : this.readPage(topicName, fromOffset, waitMs),
            ),
        );
    }

    public readNewest(
        topicName: string,
        token: CancellationToken,
        timeoutMs = newestTimeoutMs,
    ): ResultAsync<NewestRecords, StoreError> {
        return new ResultAsync(
            this.answer(timeoutMs, token, () => {
                const { newest, records, firstOffset } = this.openTopic(topicName);
                const endOffset = firstOffset + records.length;
                const entries = [...newest].map(([key, value], offset) => ({ key, value, offset }));
                return Promise.resolve({ records: entries, endOffset, epoch: String(this.era) });
            }),
        );
    }

    public append(): ResultAsync<void, StoreError> {
        return new ResultAsync(Promise.resolve(err(new StoreError("not simulated"))));
    }

    public appendAt(): ResultAsync<boolean, StoreError> {
        return new ResultAsync(Promise.resolve(err(new StoreError("not simulated"))));
    }

    public dispose(): void {
        this.topics.clear();
    }

    /** Answers as the condition of that moment demands; one that is silent when the call comes or ends never answers. */
    private async answer<T>(
        timeoutMs: number,
        token: CancellationToken,
        work: () => Promise<T | undefined>,
    ): Promise<Result<T, StoreError>> {
        const dropped = sleepOnTimer(timeoutMs, token).then(() => err<T, StoreError>(new StoreError("no answer")));
        await sleepOnTimer(answerMs / 2, token);
        switch (this.condition) {
            case "refusing":
                return err(new StoreError("status 503", undefined, 503));
            case "throttling":
                return err(new StoreError("status 429", undefined, 429));
            case "resetting":
                return err(new StoreError("reset"));
            case "silent":
                return dropped;
        }
        const answered = work().then(async value => {
            await sleepOnTimer(answerMs / 2, token);
            return value === undefined || this.condition === "silent" ? dropped : ok<T, StoreError>(value);
        });
        return Promise.race([answered, dropped]);
    }

    /** Undefined: the store fell silent while the call waited. */
    private async readPage(topicName: string, fromOffset: number, waitMs: number): Promise<LogPage | undefined> {
        const token = { isCancelled: false, onDidCancel: () => ({ dispose: () => undefined }) };
        for (let waitedMs = 0; ; waitedMs += pollMs) {
            const { records, firstOffset } = this.openTopic(topicName);
            const endOffset = firstOffset + records.length;
            const era = String(this.era);
            if (fromOffset < firstOffset || fromOffset > endOffset) {
                return { kind: "compacted", epoch: era };
            }
            if (fromOffset < endOffset || waitedMs >= waitMs) {
                this.answers += 1;
                return { kind: "records", endOffset, records: records.slice(fromOffset - firstOffset), epoch: era };
            }
            await sleepOnTimer(pollMs, token);
            if (this.condition === "silent" || this.condition === "stalled") {
                return undefined;
            }
        }
    }

    private openTopic(name: string): Topic {
        let topic = this.topics.get(name);
        if (topic === undefined) {
            topic = { newest: new Map(), records: [], firstOffset: 0 };
            this.topics.set(name, topic);
        }
        return topic;
    }
}
