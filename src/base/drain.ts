import type { Writable } from "node:stream";

/**
 * Waits until a stream that was full can be written to again, or is closed. All listeners are removed: one left behind
 * at each wait would pile up for exactly the slow readers that this is for.
 */
export function waitForDrain(stream: Writable): Promise<void> {
    if (!stream.writableNeedDrain || stream.destroyed) {
        return Promise.resolve();
    }
    return new Promise(resolve => {
        const finish = (): void => {
            stream.off("drain", finish);
            stream.off("close", finish);
            resolve();
        };
        stream.on("drain", finish);
        stream.on("close", finish);
    });
}
