import { ResultAsync } from "neverthrow";
import type { CancellationToken } from "../../../src/base/cancellation.js";
import { PlatformError } from "../../../src/infrastructure/errors.js";
import type { LogPage, LogService } from "../../../src/infrastructure/logService.js";
import type { Streams } from "./streams.js";

/** What happens to the next call. `late`: the append fails now and takes effect when {@link MemoryLogService.release} is called. */
export type MemoryFault = "down" | "lose-answer" | "late";

/** The log in this process, with scripted faults; polls never wait. */
export class MemoryLogService implements LogService {
    private readonly lateAppends: { readonly stream: string; readonly value: unknown }[] = [];
    /** Faults of the coming appends, first one first; "ok" passes. */
    public appendFaults: (MemoryFault | "ok")[] = [];
    public isDown = false;
    /** Turns of the event loop before an append takes effect. */
    public appendDelayTurns = 0;

    public constructor(
        private readonly streams: Streams,
        private readonly pageLimit = 500,
    ) {}

    public append(stream: string, value: unknown, token: CancellationToken): ResultAsync<number, PlatformError> {
        const append = async (): Promise<number> => {
            for (let turn = 0; turn < this.appendDelayTurns; turn++) {
                await new Promise(resolve => setImmediate(resolve));
            }
            await Promise.resolve();
            return this.appendNow(stream, value, token);
        };
        return ResultAsync.fromPromise(append(), error => error as PlatformError);
    }

    public read(stream: string, fromOffset: number): ResultAsync<LogPage, PlatformError> {
        const page = new Promise<LogPage>((resolve, reject) => {
            setImmediate(() =>
                this.isDown
                    ? reject(new PlatformError("log", "down"))
                    : resolve(this.streams.read(stream, fromOffset, this.pageLimit)),
            );
        });
        return ResultAsync.fromPromise(page, error => error as PlatformError);
    }

    /** Lets the appends that were late take effect now. */
    public release(): void {
        for (const { stream, value } of this.lateAppends.splice(0)) {
            this.streams.append(stream, value);
        }
    }

    private appendNow(stream: string, value: unknown, token: CancellationToken): number {
        const fault = token.isCancelled || this.isDown ? "down" : (this.appendFaults.shift() ?? "ok");
        switch (fault) {
            case "down":
                throw new PlatformError("log", "down");
            case "late":
                this.lateAppends.push({ stream, value: structuredClone(value) });
                throw new PlatformError("log", "no answer");
            case "lose-answer":
                this.streams.append(stream, value);
                throw new PlatformError("log", "answer lost");
            case "ok":
                return this.streams.append(stream, value).offset;
        }
    }
}
