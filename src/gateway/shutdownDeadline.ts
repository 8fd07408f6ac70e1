import { CancellationTokenSource, type CancellationToken } from "../base/cancellation.js";
import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import { RunningQuantile } from "../decisions/structures/runningQuantile.js";
import { LazyMap } from "./lazyMap.js";

/** Quantile of a route's durations that a request is expected to take. */
const durationQuantile = 0.95;

/** The time by which all requests must have ended once the router is stopping. */
export class ShutdownDeadline implements Disposable {
    private readonly cancellation = new CancellationTokenSource();
    /** Durations of requests; milliseconds, by route name. */
    private readonly durations = new LazyMap(() => new RunningQuantile(durationQuantile));
    private atMs = Number.POSITIVE_INFINITY;

    public constructor(private readonly clock: Clock) {}

    /** Cancelled when the deadline has been reached. */
    public get token(): CancellationToken {
        return this.cancellation.token;
    }

    /** Sets the deadline; milliseconds from now. */
    public start(remainingMs: number): void {
        this.atMs = this.clock.nowMs() + remainingMs;
    }

    /** Ends the requests that are still open. */
    public end(): void {
        this.cancellation.cancel();
    }

    public dispose(): void {
        this.cancellation.dispose();
    }

    /** Records how long a request of the route took. */
    public observeDuration(routeName: string, ms: number): void {
        this.durations.getOrCreate(routeName).observe(ms);
    }

    /**
     * Whether a request that is sent now is expected to end before the router stops. As long as no duration of its route is known, one that
     * may be repeated is expected to. `deadlineAtMs`: monotonic time by which it ends at the latest; milliseconds.
     */
    public canComplete(routeName: string, deadlineAtMs: number, isRepeatable: boolean): boolean {
        if (deadlineAtMs <= this.atMs) {
            return true;
        }
        const { value = isRepeatable ? 0 : Number.POSITIVE_INFINITY } = this.durations.getOrCreate(routeName);
        return this.clock.nowMs() + value <= this.atMs;
    }
}
