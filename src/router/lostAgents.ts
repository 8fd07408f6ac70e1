import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Scheduler } from "../fleet/coreRunner.js";
import type { RouterService } from "./routerService.js";

/**
 * How long a lost agent's requests are waited for after the last that came of them; milliseconds. A partition of some seconds, or a
 * paused VM, comes back within it and delivers; one that lasts longer is a death as far as the caller is concerned.
 */
const maxSilenceMs = 15_000;
/** A timer that is later than this shows that this process stood still, so that nothing could be read; milliseconds. */
const stallMs = 1_000;

/**
 * Ends the requests at agents that have been silent for long. A VM that vanishes sends no reset: its connections stay open and silent for
 * ever, and callers whose requests had started there would wait as long.
 */
export class LostAgents implements Disposable {
    private readonly timers = new Map<string, Disposable>();

    public constructor(
        private readonly service: Pick<RouterService, "endSilentTries">,
        private readonly clock: Clock,
        private readonly scheduler: Scheduler,
    ) {}

    /** The agent no longer answers the exchange. */
    public add(agentId: string): void {
        this.remove(agentId);
        this.watch(agentId);
    }

    /** The agent answers again; returns whether it was lost. */
    public remove(agentId: string): boolean {
        this.timers.get(agentId)?.dispose();
        return this.timers.delete(agentId);
    }

    public dispose(): void {
        [...this.timers.keys()].forEach(agentId => this.remove(agentId));
    }

    private watch(agentId: string): void {
        const dueAtMs = this.clock.nowMs() + maxSilenceMs;
        const end = (): void => {
            const hasStalled = this.clock.nowMs() - dueAtMs > stallMs;
            if (hasStalled || this.service.endSilentTries(agentId, maxSilenceMs)) {
                this.watch(agentId);
            }
        };
        this.timers.set(agentId, this.scheduler.run(end, maxSilenceMs));
    }
}
