import type { ServerResponse } from "node:http";
import { GrowingBuffer } from "../base/growingBuffer.js";

/**
 * Writes the body of a response. What is written in one turn of the event loop, or while the socket has not taken the previous bytes, is
 * collected and written together: a write of some bytes takes hundreds of bytes of memory until it is sent, and most of the time that it
 * takes does not depend on its size.
 */
export class ResponseWriter {
    private readonly collected = new GrowingBuffer();
    /** The only data collected so far, which is written without a copy. */
    private single: Buffer | undefined;
    private isScheduled = false;
    private isWriting = false;

    private readonly writeCollected = (): void => {
        this.isScheduled = false;
        if (this.isWriting || this.response.writableEnded || this.response.destroyed) {
            return;
        }
        const data = this.takeCollected();
        if (data !== undefined) {
            this.isWriting = true;
            this.response.write(data, this.handleFlush);
        }
    };

    private readonly handleFlush = (): void => {
        this.isWriting = false;
        this.onDidFlush();
        this.writeCollected();
    };

    /** `onDidFlush`: the socket has taken bytes. */
    public constructor(
        private readonly response: ServerResponse,
        private readonly onDidFlush: () => void,
    ) {}

    /** Bytes that the socket has not taken. */
    public get unsentBytes(): number {
        return this.response.writableLength + this.collected.length + (this.single?.length ?? 0);
    }

    public write(data: Buffer): void {
        if (this.single === undefined && this.collected.length === 0) {
            this.single = data;
        } else {
            if (this.single !== undefined) {
                this.collected.add(this.single);
                this.single = undefined;
            }
            this.collected.add(data);
        }
        if (!this.isScheduled && !this.isWriting) {
            this.isScheduled = true;
            process.nextTick(this.writeCollected);
        }
    }

    /** Writes what has been collected without waiting for the socket. */
    public sendCollected(): void {
        const data = this.takeCollected();
        if (data !== undefined) {
            this.response.write(data);
        }
    }

    /** Writes what has been collected, and ends the response. */
    public end(): void {
        this.response.end(this.takeCollected());
    }

    private takeCollected(): Buffer | undefined {
        const data = this.single ?? (this.collected.length === 0 ? undefined : this.collected.take());
        this.single = undefined;
        return data;
    }
}
