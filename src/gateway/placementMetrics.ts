import { Counter, type Registry } from "prom-client";
import type { EndedRequest } from "./gatewayService.js";

/** Metrics of where requests were placed; requests without a target are not counted. */
export class PlacementMetrics {
    private readonly placements: Counter<"service" | "data_centre">;
    private readonly bytes: Counter<"service">;

    public constructor(registry: Registry) {
        const registers = [registry];
        this.placements = new Counter({
            name: "lynxarch_placements_total",
            help: "Requests with a target, by service and whether the target is in the router's own data centre or another one.",
            labelNames: ["service", "data_centre"],
            registers,
        });
        this.bytes = new Counter({
            name: "lynxarch_remote_body_bytes_total",
            help: "Bytes of request bodies that were sent to targets of other data centres.",
            labelNames: ["service"],
            registers,
        });
    }

    /** Counts a request that ended, by its last target. */
    public recordEnd({ service, target, interDataCentreBytes }: EndedRequest["end"]): void {
        if (service === undefined || target === undefined) {
            return;
        }
        this.placements.inc({ service, data_centre: interDataCentreBytes === undefined ? "own" : "other" });
        this.bytes.inc({ service }, interDataCentreBytes ?? 0);
    }
}
