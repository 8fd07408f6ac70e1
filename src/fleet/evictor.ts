import type { Clock } from "../base/clock.js";
import type { Vm } from "../infrastructure/vmList.js";
import type { RosterEntry } from "./rosterEntry.js";

/** How long a daemon must be both unresponsive and missing from the VM list before it is removed from the roster. */
export const evictAfterMs = 30_000;

/**
 * Selects daemons to evict from the roster. The VM list lags, and a network failure may interrupt the exchange while
 * the VM is running, so neither is sufficient evidence: a running daemon would needlessly lose its key range. Both
 * must hold for {@link evictAfterMs}. A running daemon that is evicted nevertheless registers again.
 */
export class Evictor {
    private readonly missingSinceMs = new Map<string, number>();

    public constructor(private readonly clock: Clock) {}

    /** Daemons to evict now. `isUnresponsive` returns whether a daemon does not reply in the exchange. */
    public pick(
        vms: readonly Vm[],
        members: readonly RosterEntry[],
        isUnresponsive: (daemonId: string) => boolean,
    ): readonly RosterEntry[] {
        const nowMs = this.clock.nowMs();
        const listed = new Set(vms.map(vm => vm.id));
        const missing = members.filter(member => !listed.has(member.vmId) && isUnresponsive(member.daemonId));
        const missingIds = new Set(missing.map(member => member.daemonId));
        for (const daemonId of this.missingSinceMs.keys()) {
            if (!missingIds.has(daemonId)) {
                this.missingSinceMs.delete(daemonId);
            }
        }
        return missing.filter(member => {
            const sinceMs = this.missingSinceMs.get(member.daemonId) ?? nowMs;
            this.missingSinceMs.set(member.daemonId, sinceMs);
            return nowMs - sinceMs >= evictAfterMs;
        });
    }
}
