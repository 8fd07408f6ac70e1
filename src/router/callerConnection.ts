import type { ServerResponse } from "node:http";
import { waitForDrain } from "../base/drain.js";
import { createProblemHeaders, renderProblem, type Problem } from "./problem.js";

/** A caller's connection: writes with backpressure and tells when the caller leaves. */
export class CallerConnection {
    private ended = false;

    /** `onDidLeave` is called once if the caller closes the connection before the answer's end. */
    public constructor(
        private readonly response: ServerResponse,
        public readonly requestId: string,
        private readonly openAiShape: boolean,
        onDidLeave: () => void,
    ) {
        response.once("close", () => {
            const early = !this.ended;
            this.ended = true;
            if (early) {
                onDidLeave();
            }
        });
    }

    public get hasBegun(): boolean {
        return this.response.headersSent;
    }

    public writeHead(status: number, headers: Readonly<Record<string, string>>): void {
        if (!this.ended && !this.response.headersSent) {
            this.response.writeHead(status, { ...headers, "x-request-id": this.requestId });
        }
    }

    public async write(data: string | Buffer): Promise<void> {
        if (!this.ended && !this.response.write(data)) {
            await waitForDrain(this.response);
        }
    }

    public end(data?: string): void {
        if (!this.ended) {
            this.ended = true;
            this.response.end(data);
        }
    }

    /** Answers with a problem; only before the head. */
    public writeProblem(problem: Problem): void {
        if (this.ended || this.response.headersSent) {
            return;
        }
        this.response.writeHead(problem.status, createProblemHeaders(problem, this.requestId));
        this.end(renderProblem(problem, this.requestId, this.openAiShape));
    }

    /**
     * Breaks the connection in the middle of an answer. A clean end would make the caller take a part for the whole:
     * with the chunked encoding's last chunk missing every HTTP client reports the break.
     */
    public close(): void {
        this.ended = true;
        this.response.destroy();
    }
}
