import type { EngineOptions } from "./engine.js";
import type { AccountLoad, Fault, Scenario } from "./scenario.js";

const runForMs = 120_000;
const warmUpMs = 15_000;

const engine: EngineOptions = {
    maxConcurrent: 16,
    coldLimit: 2,
    msPerToken: 15,
    batchSlowdown: 0.03,
    prefillMsPerToken: 0.1,
    cachedPrefixes: 24,
    coldForMs: 20_000,
    coldSlowdown: 3,
};

/** Engines of today's planning service and model pool: 13 over three data centres. */
const todaysAgents = ["a", "b", "c", "a", "b", "c", "a", "b", "c", "a", "b", "c", "a"];

interface Demand {
    /** Offered work over the capacity of all targets, by size of account. */
    readonly department: number;
    readonly middle: number;
    readonly small: number;
    readonly longShare?: number;
}

const sizes = [
    { size: "department", weight: 24, names: ["department"] },
    { size: "middle", weight: 3, names: ["middle-1", "middle-2", "middle-3"] },
    { size: "small", weight: 1, names: Array.from({ length: 12 }, (...[, index]) => `small-${index + 1}`) },
] as const;

/** Today's 16 accounts; the department outweighs all others together. `demand` is that of all accounts of a size. */
function createAccounts(demand: Demand, untilMs = runForMs): readonly AccountLoad[] {
    return sizes.flatMap(({ size, weight, names }) =>
        names.map(name => ({
            name,
            size,
            weight,
            longShare: demand.longShare ?? 0.25,
            prefixes: 20,
            prefixSkew: 2,
            load: [{ fromMs: 0, untilMs, share: demand[size] / names.length }],
        })),
    );
}

/** gt-central: callers a very short way off, data centres only slightly nearer to each other. */
function createScenario(name: string, description: string, changes: Partial<Scenario>): Scenario {
    return {
        name,
        description,
        routerDataCentres: ["a", "b", "c"],
        agentDataCentres: todaysAgents,
        engine,
        accounts: createAccounts(steadyDemand),
        faults: [],
        untilMs: runForMs,
        measureFromMs: warmUpMs,
        callerTripMs: 0.5,
        localTripMs: 0.2,
        dataCentreTripMs: 0.45,
        maxWaitingTotal: 5_000,
        ...changes,
    };
}

/** cr-central: callers several times farther off than data centres from each other. */
const clubTrips = { callerTripMs: 3, localTripMs: 0.2, dataCentreTripMs: 0.6 };

const steadyDemand: Demand = { department: 0.5, middle: 0.2, small: 0.15 };
/** What two of three data centres can carry. */
const lightDemand: Demand = { department: 0.28, middle: 0.12, small: 0.12 };
/** Everyone asks for more than there is, and least those with the largest share. */
const saturatedDemand: Demand = { department: 0.7, middle: 0.5, small: 0.6 };

/** One account asks for `share` of the capacity over and above. */
function addFlood(accounts: readonly AccountLoad[], name: string, share: number, fromMs: number, untilMs: number) {
    return accounts.map(account =>
        account.name === name ? { ...account, load: [...account.load, { fromMs, untilMs, share }] } : account,
    );
}

function updateAccount(accounts: readonly AccountLoad[], name: string, changes: Partial<AccountLoad>) {
    return accounts.map(account => (account.name === name ? { ...account, ...changes } : account));
}

const leaveAndReturn: readonly Fault[] = [
    { kind: "dataCentreOut", atMs: 40_000, dataCentre: "b" },
    { kind: "dataCentreIn", atMs: 80_000, dataCentre: "b" },
];

/** 120 routers, 26 engines, 64 accounts: one department, 7 middle and 56 small ones. */
function createManyRouters(): Scenario {
    const names = Array.from({ length: 64 }, (...[, index]) => `account-${index}`);
    const accounts = names.map((name, index): AccountLoad => {
        const size = index === 0 ? "department" : index < 8 ? "middle" : "small";
        const weight = { department: 100, middle: 4, small: 1 }[size];
        const share = { department: 0.5, middle: 0.4 / 7, small: 0.4 / 56 }[size];
        const load = [{ fromMs: 0, untilMs: 60_000, share }];
        return { name, size, weight, longShare: 0.25, prefixes: 20, prefixSkew: 2, load };
    });
    return createScenario(
        "many-routers",
        "120 routers with unevenly spread tenants, 26 engines, 64 accounts, 1.3 times the capacity",
        {
            routerDataCentres: Array.from({ length: 120 }, (...[, index]) => ["a", "b", "c"][index % 3]!),
            agentDataCentres: Array.from({ length: 26 }, (...[, index]) => ["a", "b", "c"][index % 3]!),
            accounts,
            untilMs: 60_000,
        },
    );
}

/** All scenarios by name. */
export const scenarios: readonly Scenario[] = [
    createScenario("steady", "gt-central at 0.85 of the capacity", {}),
    createScenario(
        "burst",
        "steady at half load; a middle account sends eight times the capacity for two seconds, three times",
        {
            accounts: [30_000, 55_000, 80_000].reduce(
                (accounts, atMs) => addFlood(accounts, "middle-1", 8, atMs, atMs + 2_000),
                createAccounts(lightDemand),
            ),
        },
    ),
    createScenario("flood", "one small account asks for twice the capacity while the others ask for 0.85 of it", {
        accounts: addFlood(createAccounts(steadyDemand), "small-1", 2, 20_000, 100_000),
    }),
    createScenario("hot-keys", "one prefix of the department takes most of its load", {
        accounts: updateAccount(createAccounts(steadyDemand), "department", { prefixes: 50, prefixSkew: 12 }),
    }),
    createScenario("slow-target", "two of 13 engines become four times slower for 40 s", {
        accounts: createAccounts({ department: 0.4, middle: 0.17, small: 0.13 }),
        faults: [
            { kind: "slow", atMs: 40_000, agentIndexes: [1, 2], slowness: 4 },
            { kind: "slow", atMs: 80_000, agentIndexes: [1, 2], slowness: 1 },
        ],
    }),
    createScenario("long-among-short", "the department floods with long work; the others ask short questions", {
        accounts: createAccounts({ department: 1.2, middle: 0.1, small: 0.1, longShare: 0 }).map(account =>
            account.size === "department" ? { ...account, longShare: 1 } : account,
        ),
    }),
    createScenario("saturation", "all accounts ask for more than their share, 1.8 times the capacity in all", {
        accounts: createAccounts(saturatedDemand),
    }),
    createScenario("cold-start", "all engines start cold; later three turn cold without warning", {
        accounts: createAccounts({ department: 0.35, middle: 0.15, small: 0.15 }),
        measureFromMs: 0,
        faults: [
            { kind: "turnCold", atMs: 0, agentIndexes: todaysAgents.map((...[, index]) => index) },
            { kind: "turnCold", atMs: 60_000, agentIndexes: [0, 4, 8] },
        ],
    }),
    createScenario("datacentre-steady", "the load of datacentre-leave-return with all data centres in", {
        accounts: createAccounts(lightDemand),
    }),
    createScenario(
        "datacentre-leave-return",
        "one of three data centres out from 40 s to 80 s, at a load that two carry",
        {
            accounts: createAccounts(lightDemand),
            faults: leaveAndReturn,
        },
    ),
    createScenario("partition-heal", "one data centre is cut off from the others from 40 s to 70 s under saturation", {
        accounts: createAccounts(saturatedDemand),
        faults: [
            { kind: "cut", atMs: 40_000, dataCentre: "a" },
            { kind: "heal", atMs: 70_000, dataCentre: "a" },
        ],
    }),
    createScenario("club-steady", "cr-central at 0.85 of the capacity", { ...clubTrips }),
    createScenario("club-saturation", "cr-central, 1.8 times the capacity", {
        ...clubTrips,
        accounts: createAccounts(saturatedDemand),
    }),
    createManyRouters(),
];
