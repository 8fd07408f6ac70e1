import type { CallerLimits, GatewayConfiguration } from "./configuration.js";
import type { FleetChange } from "./fleetSource.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { Rollouts } from "./rollouts/rollouts.js";

/** Applies changes reported by the platform. */
export class FleetChangeHandler {
    public constructor(
        private readonly context: Pick<GatewayContext, "configuration" | "directory" | "logger" | "clock">,
        private readonly rollouts: Pick<Rollouts, "applyOrder" | "applyStatus">,
        private readonly applyLimits: (limits: CallerLimits) => void,
    ) {}

    /** Passes a change to the component that it concerns. */
    public apply(change: FleetChange): void {
        switch (change.kind) {
            case "configuration":
                this.applyConfiguration(change.configuration);
                break;
            case "rollout":
                this.rollouts.applyOrder(change.service, change.order);
                break;
            case "rollout-status":
                this.rollouts.applyStatus(change.status);
                break;
            default:
                this.context.directory.applyChange(change);
        }
    }

    private applyConfiguration(next: GatewayConfiguration): void {
        const { configuration, directory, logger, clock } = this.context;
        const before = configuration.current?.version;
        const { version, limits } = next;
        if (!configuration.apply(next, clock.nowMs())) {
            logger.write("info", "configuration ignored: not newer than the one in force", {
                version,
                inForce: before,
            });
            return;
        }
        directory.applyConfiguration(next);
        this.applyLimits(limits);
        logger.write("info", "configuration in force", { version, before });
    }
}
