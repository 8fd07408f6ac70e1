import type { CallerAnswer } from "./callerAnswer.js";
import type { CallerConnection } from "./callerConnection.js";
import type { Problem } from "./problem.js";

/** Passes a plain service's answer through. */
export class PlainAnswer implements CallerAnswer {
    public constructor(private readonly connection: CallerConnection) {}

    public get hasBegun(): boolean {
        return this.connection.hasBegun;
    }

    public async writeHead(status: number, headers: Readonly<Record<string, string>>): Promise<void> {
        this.connection.writeHead(status, headers);
    }

    public async writeChunk(data: string): Promise<void> {
        await this.connection.write(Buffer.from(data, "base64"));
    }

    public async end(): Promise<void> {
        this.connection.end();
    }

    public fail(problem: Problem): void {
        if (this.hasBegun) {
            this.connection.close();
        } else {
            this.connection.writeProblem(problem);
        }
    }

    public clear(): void {
        // Nothing is kept back.
    }
}
