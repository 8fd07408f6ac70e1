import type { AgentEffect, AgentMessage } from "../../src/fleet/agentMessages.js";
import type { AgentIdentity, AgentReport, BriefReport, WorkRequest } from "../../src/fleet/entities.js";
import type { BenchAgent } from "../system.js";

/** One first-in-first-out queue before a fixed number of slots; drops what has waited beyond its deadline. */
export class FifoAgent implements BenchAgent {
    private queue: WorkRequest[] = [];
    private readonly running = new Set<string>();
    private slots = 0;

    public constructor(private readonly identity: AgentIdentity) {}

    public handle(message: AgentMessage, nowMs: number): readonly AgentEffect[] {
        switch (message.type) {
            case "documentAccepted":
                this.slots = message.document.targets[this.identity.targetName]?.maxConcurrent ?? 0;
                break;
            case "workOffered":
                this.queue.push(message.request);
                break;
            case "workCancelled":
                this.queue = this.queue.filter(request => request.id !== message.requestId);
                break;
            case "runEnded":
                this.running.delete(message.requestId);
                break;
            default:
                return [];
        }
        return this.start(nowMs);
    }

    public tick(): readonly AgentEffect[] {
        return [];
    }

    public nextTickAtMs(): number | undefined {
        return undefined;
    }

    public createReport(): AgentReport {
        return {
            identity: this.identity,
            sequence: 1,
            phase: "serving",
            window: this.slots,
            running: this.running.size,
            queued: this.queue.length,
            cold: false,
            serviceTimeMs: 0,
            documentOffset: 0,
            counters: [],
            cachedPrefixes: [],
        };
    }

    public createAnswerReport(): BriefReport {
        return { ...this.createReport(), cachedPrefixes: undefined };
    }

    private start(nowMs: number): readonly AgentEffect[] {
        const effects: AgentEffect[] = [];
        while (this.running.size < this.slots && this.queue.length > 0) {
            const request = this.queue.shift()!;
            if (request.deadlineAtMs < nowMs) {
                const detail = "waited too long";
                const refusal = { reason: "deadline", execution: "not-run", retryAfterMs: 1_000, detail } as const;
                effects.push({ type: "refuseWork", requestId: request.id, refusal });
            } else {
                this.running.add(request.id);
                effects.push({ type: "startWork", requestId: request.id });
            }
        }
        return effects;
    }
}
