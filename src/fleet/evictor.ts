import type { Clock } from "../base/clock.js";
import type { Vm } from "../infrastructure/vmList.js";
import type { RosterEntry } from "./rosterEntry.js";

/** How long a daemon must be both silent and missing from the list of VMs before it is taken out of the roster. */
export const evictAfterMs = 30_000;

/**
 * Decides which daemons are gone for good. The list of VMs lags and the exchange may be cut while the VM lives, so one
 * sign alone is no proof: a daemon that was taken out on either would lose its keys' range for nothing. Both together
 * and for long are; a living daemon that is taken out all the same registers again.
 */
export class Evictor {
    private readonly missingSinceMs = new Map<string, number>();

    public constructor(private readonly clock: Clock) {}

    /** Daemons to take out now. `isSilent` tells whether a daemon does not answer the exchange. */
    public pick(
        vms: readonly Vm[],
        members: readonly RosterEntry[],
        isSilent: (daemonId: string) => boolean,
    ): readonly RosterEntry[] {
        const nowMs = this.clock.nowMs();
        const listed = new Set(vms.map(vm => vm.id));
        const missing = members.filter(member => !listed.has(member.vmId) && isSilent(member.daemonId));
        const names = new Set(missing.map(member => member.daemonId));
        for (const daemonId of this.missingSinceMs.keys()) {
            if (!names.has(daemonId)) {
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
