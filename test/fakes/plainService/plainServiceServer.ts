import { Hono, type Context } from "hono";
import { hashText } from "../../../src/base/hash.js";
import type { Clock } from "../../../src/base/clock.js";
import type { StandInBindings, StandInRecorder } from "../standIn.js";

/** `refuse` answers 503 without running; `break` runs and then loses the answer; `error` runs and answers 500. */
export type PlainServiceFault = "ok" | "refuse" | "break" | "error" | "hang";

/** One call that ran. */
interface PlainRun {
    readonly key: string | undefined;
    readonly requestId: string | undefined;
    readonly method: string;
    readonly path: string;
    readonly bodyDigest: string;
    readonly startedAtMs: number;
    state: "running" | "ended";
}

/** A plain service that counts what it ran by idempotency key; it never refuses a repeat by itself. */
export class PlainService {
    private readonly runs: PlainRun[] = [];
    private fault: PlainServiceFault = "ok";
    private running = 0;
    private maxRunning = 0;

    public constructor(
        private readonly target: string,
        private delayMs: number,
        private readonly clock: Clock,
        private readonly recorder: StandInRecorder,
    ) {}

    public createApp(): Hono<StandInBindings> {
        const app = new Hono<StandInBindings>();
        app.get("/__runs", context => context.json(this.describeRuns()));
        app.get("/__events", context => context.json({ events: this.recorder.list() }));
        app.post("/__faults", async context => {
            const fault = await context.req.json<{ mode?: PlainServiceFault; delayMs?: number }>();
            this.fault = fault.mode ?? "ok";
            this.delayMs = fault.delayMs ?? this.delayMs;
            return context.json({ mode: this.fault, delayMs: this.delayMs });
        });
        app.get("/load", context => context.json({ error: "no load report" }, 404));
        app.all("*", context => this.handleCall(context));
        return app;
    }

    private async handleCall(context: Context<StandInBindings>): Promise<Response> {
        const body = await context.req.text();
        if (this.fault === "refuse") {
            return context.json({ error: "not now" }, 503);
        }
        const run = this.startRun(context, hashText(body));
        await new Promise(resolve => setTimeout(resolve, this.delayMs));
        while (this.fault === "hang") {
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        this.closeRun(run);
        if (this.fault === "break") {
            context.env.outgoing.destroy();
        }
        const answer = {
            ran: run.key === undefined ? this.runs.length : this.countRuns(run.key),
            key: run.key,
            method: run.method,
            path: run.path,
            bodyDigest: run.bodyDigest,
            target: this.target,
        };
        return context.json(answer, this.fault === "error" ? 500 : 200);
    }

    private startRun(context: Context<StandInBindings>, bodyDigest: string): PlainRun {
        const run: PlainRun = {
            key: context.req.header("idempotency-key"),
            requestId: context.req.header("x-request-id"),
            method: context.req.method,
            path: new URL(context.req.url).pathname,
            bodyDigest,
            startedAtMs: this.clock.nowMs(),
            state: "running",
        };
        this.runs.push(run);
        this.running++;
        this.maxRunning = Math.max(this.maxRunning, this.running);
        this.recorder.record({
            kind: "target-run",
            target: this.target,
            ...(run.requestId === undefined ? {} : { requestId: run.requestId }),
            ...(run.key === undefined ? {} : { digest: hashText(run.key) }),
        });
        return run;
    }

    private closeRun(run: PlainRun): void {
        run.state = "ended";
        this.running--;
    }

    private countRuns(key: string): number {
        return this.runs.filter(run => run.key === key).length;
    }

    private describeRuns(): unknown {
        const counts: Record<string, number> = {};
        for (const run of this.runs) {
            if (run.key !== undefined) {
                counts[run.key] = (counts[run.key] ?? 0) + 1;
            }
        }
        return { total: this.runs.length, running: this.running, maxRunning: this.maxRunning, counts, runs: this.runs };
    }
}
