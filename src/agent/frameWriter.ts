import type { ServerResponse } from "node:http";
import { waitForDrain } from "../base/drain.js";
import type { WorkFrame } from "../control/frames.js";
import type { AnswerFollower } from "./answerFollower.js";

/** Writes frames to a router's connection, no faster than the router reads. */
export class FrameWriter implements AnswerFollower {
    private headSent = false;
    private closed = false;

    /** `onDidLeave` is called once if the router's connection closes before {@link close}. */
    public constructor(
        private readonly response: ServerResponse,
        onDidLeave: () => void,
    ) {
        response.once("close", () => {
            const early = !this.closed;
            this.closed = true;
            if (early) {
                onDidLeave();
            }
        });
    }

    public async write(frame: WorkFrame): Promise<void> {
        if (this.closed) {
            return;
        }
        if (!this.headSent) {
            this.headSent = true;
            this.response.writeHead(200, { "content-type": "application/x-ndjson" });
        }
        if (!this.response.write(`${JSON.stringify(frame)}\n`) && !this.closed) {
            await waitForDrain(this.response);
        }
    }

    public close(): void {
        if (!this.closed) {
            this.closed = true;
            this.response.end();
        }
    }
}
