import { write, writeSync } from "node:fs";
import type { Disposable } from "./lifecycle.js";

/** Lines that wait beyond this size are dropped: about a second of a router that logs each of 500 requests a second. */
const mostBufferedBytes = 262_144;
const retryMs = 50;
const standardOutput = 1;

/**
 * Writes lines to standard output without ever waiting for its reader. Node writes to a pipe synchronously, so that a log
 * collector that hangs would stop the whole process, requests and health checks included; here lines that find no room
 * are dropped, and their number is told once there is room again.
 */
export class LogOutput implements Disposable {
    private waiting: string[] = [];
    private waitingBytes = 0;
    private dropped = 0;
    private isWriting = false;

    /** `describeDropped`: the line that tells of dropped ones. */
    public constructor(private readonly describeDropped: (count: number) => string) {}

    public write(line: string): void {
        if (this.waitingBytes > mostBufferedBytes) {
            this.dropped += 1;
            return;
        }
        this.waiting.push(line);
        this.waitingBytes += line.length + 1;
        this.writeWaiting();
    }

    /** Writes what waits, as far as the reader takes it at once; for the end of the process. */
    public dispose(): void {
        try {
            writeSync(standardOutput, this.takeWaiting());
        } catch {
            // The reader is gone or full, and the process ends: there is nobody left to tell.
        }
    }

    private writeWaiting(): void {
        if (this.isWriting || this.waiting.length === 0) {
            return;
        }
        this.isWriting = true;
        this.writeAll(Buffer.from(this.takeWaiting()));
    }

    private takeWaiting(): string {
        if (this.dropped > 0) {
            this.waiting.push(this.describeDropped(this.dropped));
            this.dropped = 0;
        }
        const text = this.waiting.length === 0 ? "" : `${this.waiting.join("\n")}\n`;
        this.waiting = [];
        this.waitingBytes = 0;
        return text;
    }

    private writeAll(data: Buffer): void {
        write(standardOutput, data, (error, written) => {
            if (error && error.code !== "EAGAIN") {
                // Standard output is closed; lines go nowhere from now on, which must not stop the service.
                this.isWriting = false;
                return;
            }
            const rest = data.subarray(error ? 0 : written);
            if (rest.length > 0) {
                setTimeout(() => this.writeAll(rest), error ? retryMs : 0);
                return;
            }
            this.isWriting = false;
            this.writeWaiting();
        });
    }
}
