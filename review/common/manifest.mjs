/** Parts of a manifest as a small deployment has them. */
import { host } from "./calls.mjs";

export const limits = {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 5_000,
    tokens_per_s: 100_000,
};

/** A route of requests that may run once at most, to the plain service. */
export function createRoute(name, changes = {}) {
    return {
        name,
        host,
        path_prefix: `/${name}/`,
        type: "non_idempotent",
        timeout_ms: 1_500,
        goal_ms: 300,
        max_attempts: 1,
        service: "app",
        public: true,
        ...changes,
    };
}

export function createManifest(routes, services = [{ name: "app", health_path: "/healthz", max_conns: 100 }]) {
    return {
        version: 1,
        routes,
        services,
        tenants: [
            { name: "tenant-1", api_keys: ["key-1"] },
            { name: "tenant-2", api_keys: ["key-2"] },
        ],
        limits,
    };
}
