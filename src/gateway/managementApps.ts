import { Hono } from "hono";
import type { FleetSource } from "./fleetSource.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import { createSnapshotApp } from "./peers/snapshotApi.js";
import { createHeldRequestsApp, type HeldRequests } from "./quarantine/heldRequestsApi.js";
import type { Rollouts } from "./rollouts/rollouts.js";
import { createRolloutsApp } from "./rollouts/rolloutsApi.js";

/** Path of the metrics page. */
export const metricsPath = "/metrics";

/** Answers the balancer's question whether the router takes new connections. */
export function createReadinessApp(path: string, isReady: () => boolean): Hono {
    const app = new Hono();
    app.get(path, context => context.text(isReady() ? "ready" : "not ready", isReady() ? 200 : 503));
    return app;
}

/** Serves the figures as text, and what the router believes as JSON. */
export function createMetricsApp(metrics: GatewayMetrics, describeState: () => object): Hono {
    const app = new Hono();
    app.get(metricsPath, async context => {
        const text = await metrics.render();
        return context.text(text, 200, { "content-type": metrics.contentType });
    });
    app.get("/state", context => context.json(describeState()));
    return app;
}

/** Serves other routers that start while the platform's store is away, and operators. */
export function createControlApp(
    source: Pick<FleetSource, "createSnapshot">,
    heldRequests: HeldRequests,
    rollouts: Pick<Rollouts, "listAll">,
): Hono {
    const app = new Hono();
    app.route(
        "/",
        createSnapshotApp(() => source.createSnapshot()),
    );
    app.route("/", createHeldRequestsApp(heldRequests));
    app.route(
        "/",
        createRolloutsApp(() => rollouts.listAll()),
    );
    return app;
}
