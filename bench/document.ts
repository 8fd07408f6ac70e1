import type { EnvironmentDocument } from "../src/document/schema.js";
import { longFromCost } from "./arrivals.js";
import type { Scenario } from "./scenario.js";

/** The environment's document of a scenario: all in, all serving. */
export function createDocument(scenario: Scenario): EnvironmentDocument {
    const { engine, agentDataCentres, routerDataCentres, accounts } = scenario;
    const dataCentres = [...new Set([...agentDataCentres, ...routerDataCentres])];
    return {
        schemaVersion: 1,
        clientAccounts: Object.fromEntries(accounts.map(({ name, weight }) => [name, { weight, apiKeyHashes: [] }])),
        services: { model: { kind: "model", nonIdempotent: [], deadlineMs: 60_000, longFromCost } },
        dataCentres: Object.fromEntries(dataCentres.map(name => [name, { region: "region", state: "in" as const }])),
        targets: Object.fromEntries(
            agentDataCentres.map((dataCentre, index) => [
                `t${index + 1}`,
                {
                    dataCentre,
                    services: ["model"],
                    state: "serving" as const,
                    maxConcurrent: engine.maxConcurrent,
                    coldLimit: engine.coldLimit,
                    checksFencing: true,
                },
            ]),
        ),
        limits: {
            maxWaitingTotal: scenario.maxWaitingTotal,
            maxWaitingPerAccount: scenario.maxWaitingTotal,
            maxOpenPerAccount: scenario.maxWaitingTotal * 2,
            maxBodyBytes: 1_000_000,
            retryRatio: 0.1,
            weightLoadsPerMinute: 10,
        },
    };
}
