// The manifest and the records of a small deployment: one plain service and one service of model engines.
export const host = "shop.example";

export const routes = [
    {
        name: "ask",
        host,
        path_prefix: "/ask/",
        type: "streaming",
        timeout_ms: 8000,
        goal_ms: 600,
        gap_target_ms: 600,
        priority: 1,
        service: "model",
        max_attempts: 2,
        resumable: true,
        sticky: true,
    },
    {
        name: "once",
        host,
        path_prefix: "/once/",
        type: "streaming",
        timeout_ms: 4000,
        goal_ms: 800,
        gap_target_ms: 600,
        priority: 1,
        service: "model",
        max_attempts: 1,
        resumable: false,
        sticky: true,
    },
    {
        name: "book",
        host,
        path_prefix: "/book/",
        type: "non_idempotent",
        timeout_ms: 1500,
        goal_ms: 300,
        priority: 2,
        service: "app",
        max_attempts: 1,
    },
    {
        name: "look",
        host,
        path_prefix: "/look/",
        type: "idempotent",
        timeout_ms: 1500,
        goal_ms: 300,
        priority: 2,
        service: "app",
        max_attempts: 2,
    },
];

export function createManifest(changes = {}) {
    return {
        version: 1,
        routes,
        services: [
            { name: "app", health_path: "/healthz", max_conns: 100 },
            {
                name: "model",
                health_path: "/healthz",
                max_conns: 360,
                cold_start_s: 3,
                cold_per_s: 6.6,
                engine: { slots: 64, kv_capacity: 422567, kv_bytes: 18432, link_mbps: 740000, stride: 7 },
            },
        ],
        limits: {
            max_header_bytes: 16384,
            max_body_bytes: 4194304,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15000,
            tokens_per_s: 350000,
        },
        tenants: [
            { name: "first", api_keys: ["key-first"] },
            { name: "second", api_keys: ["key-second"] },
        ],
        ...changes,
    };
}

export function createRecord(engine, changes = {}) {
    return {
        service: engine.service,
        address: engine.address,
        zone: engine.zone,
        version: "1",
        slots: engine.slots,
        state: "ready",
        cold_left_ms: 0,
        seqno: engine.seqno++,
        born: engine.born,
        ...changes,
    };
}
