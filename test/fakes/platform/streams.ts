import type { LogPage, LogRecord } from "../../../src/infrastructure/logService.js";

/** Append-only streams in memory, with offsets that survive retention. */
export class Streams {
    private readonly streams = new Map<string, { firstOffset: number; records: LogRecord[] }>();
    private readonly waiters = new Map<string, Set<() => void>>();

    public constructor(
        private readonly getNowMs: () => number,
        public retentionMs: number,
    ) {}

    public append(name: string, value: unknown): LogRecord {
        const stream = this.open(name);
        const record = {
            offset: stream.firstOffset + stream.records.length,
            appendedAtMs: this.getNowMs(),
            value: structuredClone(value),
        };
        stream.records.push(record);
        for (const wake of [...(this.waiters.get(name) ?? [])]) {
            wake();
        }
        return record;
    }

    public read(name: string, fromOffset: number, limit: number): LogPage {
        const stream = this.open(name);
        const start = Math.max(0, fromOffset - stream.firstOffset);
        return {
            records: structuredClone(stream.records.slice(start, start + limit)),
            firstOffset: stream.firstOffset,
            endOffset: stream.firstOffset + stream.records.length,
        };
    }

    /** Calls back once at the next append; returns a function that gives up the wait. */
    public onNextAppend(name: string, wake: () => void): () => void {
        const waiting = this.waiters.get(name) ?? new Set();
        this.waiters.set(name, waiting);
        const wakeOnce = (): void => {
            waiting.delete(wakeOnce);
            wake();
        };
        waiting.add(wakeOnce);
        return () => waiting.delete(wakeOnce);
    }

    private open(name: string): { firstOffset: number; records: LogRecord[] } {
        const stream = this.streams.get(name) ?? { firstOffset: 0, records: [] };
        this.streams.set(name, stream);
        const oldestKeptMs = this.getNowMs() - this.retentionMs;
        while (stream.records.length > 0 && stream.records[0].appendedAtMs < oldestKeptMs) {
            stream.records.shift();
            stream.firstOffset++;
        }
        return stream;
    }
}
