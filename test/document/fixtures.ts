import type { EnvironmentDocument } from "../../src/document/schema.js";

/** A small valid document; `weight` makes versions that differ. */
export function buildDocument(weight = 1): EnvironmentDocument {
    return {
        schemaVersion: 1,
        clientAccounts: { club: { weight, apiKeyHashes: [] } },
        services: { chat: { kind: "model", nonIdempotent: [], deadlineMs: 60_000, longFromCost: 1_000 } },
        dataCentres: { "gt-a": { region: "gt-central", state: "in" } },
        targets: {
            t1: {
                dataCentre: "gt-a",
                services: ["chat"],
                state: "serving",
                maxConcurrent: 8,
                coldLimit: 2,
                checksFencing: true,
            },
        },
        limits: {
            maxWaitingTotal: 1_000,
            maxWaitingPerAccount: 200,
            maxOpenPerAccount: 400,
            maxBodyBytes: 1_048_576,
            retryRatio: 0.1,
            weightLoadsPerMinute: 10,
        },
    };
}
