import { hashText } from "../../src/base/hash.js";
import type { EnvironmentDocument } from "../../src/document/schema.js";

/** The accounts of a test fleet with their API keys. */
export const testAccounts = [
    { name: "department", weight: 10, key: "key-department" },
    { name: "middle", weight: 3, key: "key-middle" },
    { name: "club", weight: 1, key: "key-club" },
] as const;

/** The model service of a test fleet. */
export const modelService = "planner";
/** The plain service of a test fleet; it demands an idempotency key for a POST to `/seats`, for no other call. */
export const plainService = "bookings";

/** One target of a test fleet. */
export interface FleetTarget {
    readonly name: string;
    readonly dataCentre: string;
    readonly kind: "model" | "plain";
}

/** Names the targets: in each data centre the first runs the plain service when there are two or more, the rest the model. */
export function listFleetTargets(dataCentres: number, targetsPerDataCentre: number): readonly FleetTarget[] {
    const targets: FleetTarget[] = [];
    for (let centre = 1; centre <= dataCentres; centre++) {
        for (let index = 1; index <= targetsPerDataCentre; index++) {
            const kind = index === 2 ? "plain" : "model";
            targets.push({ name: `t${centre}-${index}`, dataCentre: `dc-${centre}`, kind });
        }
    }
    return targets;
}

/** Figures of the document that tests vary. */
export interface FleetDocumentOptions {
    readonly maxConcurrent?: number;
    readonly coldLimit?: number;
    readonly deadlineMs?: number;
}

/** The environment's document for a test fleet. */
export function buildFleetDocument(
    targets: readonly FleetTarget[],
    options: FleetDocumentOptions = {},
): EnvironmentDocument {
    const deadlineMs = options.deadlineMs ?? 30_000;
    return {
        schemaVersion: 1,
        clientAccounts: Object.fromEntries(
            testAccounts.map(account => [
                account.name,
                { weight: account.weight, apiKeyHashes: [hashText(account.key)] },
            ]),
        ),
        services: {
            [modelService]: { kind: "model", nonIdempotent: [], deadlineMs, longFromCost: 2_000 },
            [plainService]: {
                kind: "plain",
                nonIdempotent: [{ method: "POST", pathPrefix: "/seats" }],
                deadlineMs,
                longFromCost: 5_000,
            },
        },
        dataCentres: Object.fromEntries(
            targets.map(target => [target.dataCentre, { region: "test-region", state: "in" as const }]),
        ),
        targets: Object.fromEntries(
            targets.map(target => [
                target.name,
                {
                    dataCentre: target.dataCentre,
                    services: [target.kind === "model" ? modelService : plainService],
                    state: "serving" as const,
                    maxConcurrent: options.maxConcurrent ?? 8,
                    coldLimit: options.coldLimit ?? 2,
                    checksFencing: target.kind === "model",
                },
            ]),
        ),
        limits: {
            maxWaitingTotal: 1_000,
            maxWaitingPerAccount: 200,
            maxOpenPerAccount: 400,
            maxBodyBytes: 1_048_576,
            retryRatio: 0.2,
            weightLoadsPerMinute: 6,
        },
    };
}
