/**
 * What it takes routers to tell one another their state, by size of the fleet: real exchanges over loopback datagrams in one
 * process, in four data centres, with and without relaying. Prints a message's bytes, the time between rounds and between newer messages of a router at
 * a receiver, the bytes a second within and between data centres, the most that one router sends, and processor time. Then measures
 * the planning of rounds alone (--planOnly: only that).
 */
import sade from "sade";
import { SystemClock } from "../src/base/clock.js";
import { DisposableStore } from "../src/base/lifecycle.js";
import { NoopLogger } from "../src/base/log.js";
import { SeededRandom } from "../src/base/random.js";
import { createRoundPlan, type RelayCandidate } from "../src/decisions/peers/relayPlan.js";
import { PeerExchange } from "../src/gateway/peers/peerExchange.js";
import type { RouterCondition } from "../src/gateway/peers/peerMessage.js";
import { PeerState } from "../src/gateway/peers/peerState.js";

interface Options {
    readonly seconds: number;
    readonly settle: number;
    readonly leaving: number;
    readonly sizes: string;
    readonly shares: string;
    readonly planOnly?: boolean;
}

/** Counts over the whole fleet since its start. */
interface FleetCounts {
    readonly own: number;
    readonly other: number;
    readonly received: number;
    readonly rounds: number;
    readonly sentByEach: readonly number[];
}

/** A fleet whose routers exchange messages. */
interface Fleet {
    readonly states: readonly PeerState[];
    /** Newer messages received by all routers. */
    readonly getReceived: () => number;
    /** Rounds sent by all routers. */
    readonly getRounds: () => number;
}

/** What a router of the larger played deployments has under way: requests at different engines, accounts, parts read a second. */
const requestsUnderWay = 14;
const activeAccounts = 15;
const readsPerSecond = 5;
const enginesPerRouter = 1.3;
const mostWaitingTokens = 20_000;
const windowTokens = 400_000;
const windowMs = 4_000;
const dataCentreCount = 4;
/** Fractions of a core; each data centre has routers of all these sizes. */
let processorShares: readonly number[] = [];
const port = 17_500;
const plannedRounds = 40;
const seed = 5;
const startedAtMs = 1_700_000_000_000;

sade("measure-peers", true)
    .option("--seconds", "how long each size is measured", 12)
    .option("--settle", "how long routers run before; longer than two rounds", 24)
    .option("--leaving", "targets that are leaving", 0)
    .option("--shares", "fractions of a core of the routers in each data centre, in turn", "0.184,0.594,0.675,0.675")
    .option("--planOnly", "send nothing")
    .option("--sizes", "numbers of routers", "27,68,360")
    .action((options: Options) => void run(options))
    .parse(process.argv);

async function run(options: Options): Promise<void> {
    processorShares = String(options.shares).split(",").map(Number);
    for (const size of String(options.sizes).split(",").map(Number)) {
        for (const isRelaying of options.planOnly === true ? [] : [false, true]) {
            const store = new DisposableStore();
            await measureFleet(size, isRelaying, options, store);
            store.dispose();
        }
        measurePlans(size);
    }
    process.exit(0);
}

async function measureFleet(
    size: number,
    isRelaying: boolean,
    { seconds, settle, leaving }: Options,
    store: DisposableStore,
): Promise<void> {
    const fleet = await startFleet(size, isRelaying, store, leaving);
    await sleepFor(settle * 1_000);
    const startedMs = performance.now();
    const before = countSent(fleet);
    const processorBefore = process.cpuUsage();
    await sleepFor(seconds * 1_000);
    const used = process.cpuUsage(processorBefore);
    const after = countSent(fleet);
    const ranSeconds = (performance.now() - startedMs) / 1_000;
    const mean = (read: (state: PeerState) => number): string =>
        (fleet.states.reduce((sum, state) => sum + read(state), 0) / size).toFixed(0);
    const kilobytes = (bytes: number): string => (bytes / ranSeconds / 1_000).toFixed(1);
    const mostSent = Math.max(...after.sentByEach.map((bytes, index) => bytes - before.sentByEach[index]));
    const delivered = (after.received - before.received) / (after.rounds - before.rounds) / (size - 1);
    const intervalMs = (size * (size - 1) * ranSeconds * 1_000) / (after.received - before.received);
    process.stdout.write(
        `${size} routers, ${isRelaying ? "relayed" : "direct"}: ${mean(state => state.round.messageBytes)} B a message, ` +
            `a round each ${mean(state => state.round.periodMs)} ms, a newer message at a receiver each ${intervalMs.toFixed(0)} ms ` +
            `(${(delivered * 100).toFixed(1)} % delivered), ` +
            `KB a second: ${kilobytes(after.other - before.other)} between and ${kilobytes(after.own - before.own)} within data centres, ` +
            `${kilobytes(mostSent)} at most by one router; ` +
            `${((used.user + used.system) / 10_000 / ranSeconds / size).toFixed(2)} % of a core each, ` +
            `${(process.memoryUsage().rss / 1_048_576 / size).toFixed(1)} MiB of the process each\n`,
    );
}

function countSent({ states, getReceived, getRounds }: Fleet): FleetCounts {
    const counts = states.map(({ traffic }) => traffic.counts.bytes);
    return {
        own: counts.reduce((sum, { own }) => sum + own, 0),
        other: counts.reduce((sum, { other }) => sum + other, 0),
        received: getReceived(),
        rounds: getRounds(),
        sentByEach: counts.map(({ own, other, unknown }) => own + other + unknown),
    };
}

/** Plans rounds of all routers without sending: time of a plan, messages between data centres, and the most that one router sends. */
function measurePlans(size: number): void {
    const routers = Array.from({ length: size }, (...[, index]): RelayCandidate => ({
        routerId: `edge-${index}`,
        ...createCondition(index),
        canRelay: true,
    }));
    const sizes = new Map<string, number>();
    routers.forEach(({ dataCentre }) => sizes.set(dataCentre, (sizes.get(dataCentre) ?? 0) + 1));
    const sent = new Map<string, number>();
    const addSent = (id: string, count: number): unknown => sent.set(id, (sent.get(id) ?? 0) + count);
    let crossing = 0;
    let direct = 0;
    let planMs = 0;
    for (const origin of routers) {
        const others = routers.filter(router => router !== origin);
        const own = (sizes.get(origin.dataCentre) ?? 0) - 1;
        for (let sequence = 0; sequence < plannedRounds; sequence++) {
            const startedMs = performance.now();
            const plan = createRoundPlan({ ...origin, sequence, messageBudget: size - 1 }, others);
            planMs += performance.now() - startedMs;
            const count = size - 1 - plan.coveredIds.size + plan.relayIds.length;
            addSent(origin.routerId, count);
            crossing += count - own;
            direct += size - 1 - own;
            for (const relayId of plan.relayIds) {
                const { dataCentre } = routers[Number(relayId.split("-")[1])];
                addSent(relayId, (sizes.get(dataCentre) ?? 0) - 1);
            }
        }
    }
    const most = Math.max(...sent.values()) / plannedRounds / (size - 1);
    process.stdout.write(
        `${size} routers, planned: ${((crossing * 100) / direct).toFixed(1)} % of the messages between data centres remain, ` +
            `${most.toFixed(2)} of the budget sent at most by one router, ` +
            `${((size * plannedRounds * 1_000) / planMs).toFixed(0)} rounds planned a second\n`,
    );
}

function createCondition(index: number): RouterCondition {
    return {
        dataCentre: `dc-central-${index % dataCentreCount}`,
        processorShare: processorShares[Math.floor(index / dataCentreCount) % processorShares.length],
        utilization: 0.5,
        isWithdrawn: false,
    };
}

async function startFleet(size: number, isRelaying: boolean, store: DisposableStore, leaving: number): Promise<Fleet> {
    let received = 0;
    let rounds = 0;
    const random = new SeededRandom(seed);
    const clock = new SystemClock();
    const engines = Array.from({ length: Math.ceil(size * enginesPerRouter) }, () =>
        Math.floor(random.next() * 2 ** 32),
    );
    const ips = Array.from(
        { length: size },
        (...[, index]) => `127.99.${Math.floor(index / 200)}.${(index % 200) + 1}`,
    );
    const fleet = ips.map((ip, index) => {
        const state = new PeerState({
            own: { routerId: `edge-dc-central-a-${index}`, ip },
            seedIps: ips,
            clock,
            listOwnLoads: () => {
                rounds += 1;
                return engines.slice(0, requestsUnderWay).map(targetHash => ({
                    targetHash,
                    waitingTokens: random.next() * mostWaitingTokens,
                    running: 1,
                    writtenTokens: random.next() * mostWaitingTokens,
                }));
            },
            listOwnAccounts: () => ({
                coveredMs: windowMs,
                accounts: new Map(
                    Array.from({ length: activeAccounts }, (...[, account]) => [
                        `account${account}`,
                        {
                            asked: random.next() * windowTokens,
                            served: random.next() * windowTokens,
                            recentlyServed: random.next() * windowTokens,
                        },
                    ]),
                ),
            }),
            getCondition: () => createCondition(index),
            listLeaving: () =>
                engines.slice(0, leaving).map(targetHash => ({ targetHash, startedAtMs: startedAtMs + targetHash })),
            onDidUpdatePeerLoads: () => undefined,
            onDidReceiveMessage: () => {
                received += 1;
            },
        });
        const timer = setInterval(() => {
            state.recordPrefill(engines[0], Math.floor(random.next() * 2 ** 32).toString(16), windowTokens);
        }, 1_000 / readsPerSecond);
        store.add({ dispose: () => clearInterval(timer) });
        return {
            state,
            exchange: store.add(
                new PeerExchange({
                    ip,
                    port,
                    state,
                    clock,
                    logger: new NoopLogger(),
                    isRelaying: () => isRelaying,
                    onDidReceiveGrantMessage: () => undefined,
                    onDidReceiveCrashMessage: () => undefined,
                    onDidReceivePartMessage: () => undefined,
                    onDidReceiveRolloutMessage: () => undefined,
                    onDidReceiveStreamVersionMessage: () => undefined,
                }),
            ),
        };
    });
    await Promise.all(fleet.map(({ exchange }) => exchange.start()));
    return { states: fleet.map(({ state }) => state), getReceived: () => received, getRounds: () => rounds };
}

function sleepFor(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
