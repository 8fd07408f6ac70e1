import type { Disposable } from "../../base/lifecycle.js";
import type { SetTimer } from "../../base/timers.js";

/**
 * Delays at which a message is sent; milliseconds. It is repeated because datagrams are lost, and a router that is briefly too slow reads
 * them late.
 */
export const sendDelaysMs: readonly number[] = [0, 100, 400, 1_500];

/** Sends messages to all other routers, each several times. */
export class RepeatedBroadcast<T> implements Disposable {
    private readonly timers = new Set<Disposable>();

    public constructor(
        private readonly sendToAll: (message: T) => void,
        private readonly setTimer: SetTimer,
    ) {}

    public send(message: T, delaysMs = sendDelaysMs): void {
        for (const delayMs of delaysMs) {
            if (delayMs === 0) {
                this.sendToAll(message);
                continue;
            }
            const timer = this.setTimer(delayMs, () => {
                this.timers.delete(timer);
                this.sendToAll(message);
            });
            this.timers.add(timer);
        }
    }

    public dispose(): void {
        this.timers.forEach(timer => timer.dispose());
        this.timers.clear();
    }
}
