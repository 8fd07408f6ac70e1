import { Hono } from "hono";
import { createExplainPlacementApp } from "./explanations/explainPlacementApi.js";
import { PlacementExplainer } from "./explanations/placementExplainer.js";
import type { FleetSource } from "./fleetSource.js";
import type { GatewayContext } from "./gatewayContext.js";
import { computeTargetsViewAgeMs } from "./gatewayState.js";
import type { GatewayMetrics } from "./gatewayMetrics.js";
import { createSnapshotApp } from "./peers/snapshotApi.js";
import { createHeldRequestsApp } from "./quarantine/heldRequestsApi.js";
import type { Rollouts } from "./rollouts/rollouts.js";
import { createRolloutsApp } from "./rollouts/rolloutsApi.js";

/** Path of the metrics page. */
export const metricsPath = "/metrics";

/** Serves the balancer's readiness check. */
export function createReadinessApp(path: string, isReady: () => boolean): Hono {
    const app = new Hono();
    app.get(path, context => context.text(isReady() ? "ready" : "not ready", isReady() ? 200 : 503));
    return app;
}

/** Serves the metrics as text and the router's local state as JSON. */
export function createMetricsApp(metrics: GatewayMetrics, describeState: () => object): Hono {
    const app = new Hono();
    app.get(metricsPath, async context => {
        const text = await metrics.render();
        return context.text(text, 200, { "content-type": metrics.contentType });
    });
    app.get("/state", context => context.json(describeState()));
    return app;
}

/** Serves operators, and other routers that start while the platform's store is unavailable. */
export function createControlApp(
    source: Pick<FleetSource, "createSnapshot" | "health">,
    rollouts: Pick<Rollouts, "listAll">,
    context: GatewayContext,
): Hono {
    const app = new Hono();
    app.route(
        "/",
        createSnapshotApp(() => source.createSnapshot()),
    );
    app.route("/", createHeldRequestsApp(context.quarantine));
    app.route(
        "/",
        createRolloutsApp(() => rollouts.listAll()),
    );
    const explainer = new PlacementExplainer(context, () => computeTargetsViewAgeMs(context, source));
    app.route("/", createExplainPlacementApp(explainer));
    return app;
}
