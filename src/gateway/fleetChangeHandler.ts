import type { CallerLimits, GatewayConfiguration } from "./configuration.js";
import type { FleetChange } from "./fleetSource.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { Rollouts } from "./rollouts/rollouts.js";

/** Puts the platform's changes in force. */
export class FleetChangeHandler {
    public constructor(
        private readonly context: Pick<GatewayContext, "configuration" | "directory" | "logger">,
        private readonly rollouts: Pick<Rollouts, "applyOrder" | "applyStatus">,
        private readonly applyLimits: (limits: CallerLimits) => void,
    ) {}

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
        const { configuration, directory, logger } = this.context;
        const before = configuration.current?.version;
        const { version, limits } = next;
        if (!configuration.apply(next)) {
            logger.write("info", "an older configuration is left aside", { version, inForce: before });
            return;
        }
        directory.applyConfiguration(next);
        this.applyLimits(limits);
        logger.write("info", "configuration in force", { version, before });
    }
}
