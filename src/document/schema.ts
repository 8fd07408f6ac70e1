import { z } from "zod";

const name = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._/-]{0,63}$/, "must be 1 to 64 letters, digits, or . _ / -");
const positive = z.number().finite().positive();
const count = z.number().int().nonnegative();
const sha256Hex = z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 as 64 lower-case hex digits");

/** A client account: who shares the capacity, with what weight and limits. */
export const clientAccountSchema = z.strictObject({
    weight: positive.max(1_000_000),
    apiKeyHashes: z.array(sha256Hex).max(16),
    /** Services the account may use; all when left out. */
    services: z.array(name).optional(),
    /** Requests that may wait over one router; the environment's default when left out. */
    maxWaiting: count.optional(),
    /** Open requests (waiting and running) over one router; the environment's default when left out. */
    maxOpen: count.optional(),
});

/** A service: a model, or plain HTTP calls. */
export const serviceSchema = z.strictObject({
    kind: z.enum(["model", "plain"]),
    /** For plain services: the methods and path prefixes whose calls may not be repeated. */
    nonIdempotent: z
        .array(z.strictObject({ method: z.string().regex(/^[A-Z]+$/), pathPrefix: z.string().startsWith("/") }))
        .default([]),
    /** A request that cannot be answered within this time is refused; milliseconds. */
    deadlineMs: positive.max(3_600_000),
    /** Estimated cost from which a request counts as long; tokens for models, milliseconds for plain services. */
    longFromCost: positive,
});

/** A data centre; while it is out, nothing new starts there. */
export const dataCentreSchema = z.strictObject({
    region: name,
    state: z.enum(["in", "out"]),
});

/** A back end: a model engine or a plain service instance. */
export const targetSchema = z.strictObject({
    dataCentre: name,
    services: z.array(name).min(1),
    state: z.enum(["serving", "draining"]),
    /** Most requests at once when warm. */
    maxConcurrent: z.number().int().positive().max(10_000),
    /** Most requests at once while cold. */
    coldLimit: z.number().int().positive().max(10_000),
    /** Whether the target refuses an order that carries an old fencing number. */
    checksFencing: z.boolean(),
    /** Orders for a model engine, given in this order at the agent's start, on change and after the engine was gone. */
    orders: z
        .array(
            z.strictObject({
                kind: z.enum(["load-model", "load-adapter", "set-version", "set-role"]),
                name: z.string().min(1).max(200),
            }),
        )
        .optional(),
});

/** Limits of the environment. */
export const limitsSchema = z.strictObject({
    /** Requests that may wait in one router, over all accounts. */
    maxWaitingTotal: z.number().int().positive(),
    /** Requests of one account that may wait in one router. */
    maxWaitingPerAccount: z.number().int().positive(),
    /** Open requests of one account over one router. */
    maxOpenPerAccount: z.number().int().positive(),
    /** Largest request body; bytes. */
    maxBodyBytes: z.number().int().positive().max(268_435_456),
    /** Retries as a share of first tries, over the last ten seconds. */
    retryRatio: z.number().min(0).max(1),
    /** Weight loads that the weight store bears, over the fleet; per minute. */
    weightLoadsPerMinute: positive,
});

/** One environment's whole configuration. */
export const documentSchema = z
    .strictObject({
        schemaVersion: z.literal(1),
        clientAccounts: z.record(name, clientAccountSchema),
        services: z.record(name, serviceSchema),
        dataCentres: z.record(name, dataCentreSchema),
        targets: z.record(name, targetSchema),
        limits: limitsSchema,
    })
    .superRefine((document, context) => {
        for (const { path, message } of listReferenceFaults(document)) {
            context.addIssue({ code: "custom", path: [...path], message });
        }
    });

type DeepReadonly<T> = T extends object ? { readonly [K in keyof T]: DeepReadonly<T[K]> } : T;

/** One environment's whole configuration, checked. */
export type EnvironmentDocument = DeepReadonly<z.infer<typeof documentSchema>>;
/** A client account as configured. */
export type ClientAccount = DeepReadonly<z.infer<typeof clientAccountSchema>>;
/** A service as configured. */
export type Service = DeepReadonly<z.infer<typeof serviceSchema>>;
/** A data centre as configured. */
export type DataCentre = DeepReadonly<z.infer<typeof dataCentreSchema>>;
/** A target as configured. */
export type Target = DeepReadonly<z.infer<typeof targetSchema>>;
/** The environment's limits. */
export type Limits = DeepReadonly<z.infer<typeof limitsSchema>>;

/** A document together with the log offset of the change that made it. */
export interface AcceptedDocument {
    /** Offset of the newest accepted change; -1 before the first. Never falls. */
    readonly offset: number;
    readonly document: EnvironmentDocument;
    /** Last offset that the holder had applied, if told: nothing after `offset` up to here was accepted. */
    readonly upTo?: number;
}

/** A fault that only shows when parts of the document are seen together. */
export interface ReferenceFault {
    readonly path: readonly (string | number)[];
    readonly message: string;
}

/** What the schemas of the single parts cannot see: names that nothing has, limits that contradict each other. */
export function listReferenceFaults(document: EnvironmentDocument): readonly ReferenceFault[] {
    const faults: ReferenceFault[] = [];
    const checkServices = (path: readonly string[], services: readonly string[]): void =>
        services.forEach((service, index) => {
            if (!Object.hasOwn(document.services, service)) {
                faults.push({ path: [...path, "services", index], message: `no service is named "${service}"` });
            }
        });
    for (const [name, target] of Object.entries(document.targets)) {
        if (!Object.hasOwn(document.dataCentres, target.dataCentre)) {
            const message = `no data centre is named "${target.dataCentre}"`;
            faults.push({ path: ["targets", name, "dataCentre"], message });
        }
        if (target.coldLimit > target.maxConcurrent) {
            faults.push({ path: ["targets", name, "coldLimit"], message: "must not exceed maxConcurrent" });
        }
        checkServices(["targets", name], target.services);
    }
    for (const [name, account] of Object.entries(document.clientAccounts)) {
        checkServices(["clientAccounts", name], account.services ?? []);
    }
    return faults;
}
