/**
 * What it takes routers to tell one another their state, by size of the fleet: real exchanges over loopback datagrams in one
 * process. Prints a message's bytes, the time between rounds, and the bytes and processor time a second of each router.
 */
import sade from "sade";
import { SystemClock } from "../src/base/clock.js";
import { DisposableStore } from "../src/base/lifecycle.js";
import { NoopLogger } from "../src/base/log.js";
import { SeededRandom } from "../src/base/random.js";
import { PeerExchange } from "../src/gateway/peers/peerExchange.js";
import { PeerState } from "../src/gateway/peers/peerState.js";

interface Options {
    readonly seconds: number;
    readonly leaving: number;
}

/** What a router of the larger played deployments has under way: requests at different engines, accounts, parts read a second. */
const requestsUnderWay = 14;
const activeAccounts = 15;
const readsPerSecond = 5;
const enginesPerRouter = 1.3;
const mostWaitingTokens = 20_000;
const windowTokens = 400_000;
const windowMs = 4_000;
const fleetSizes = [4, 28, 68, 100] as const;
const port = 17_500;
const settleMs = 6_000;
const seed = 5;
const startedAtMs = 1_700_000_000_000;

sade("measure-peers", true)
    .option("--seconds", "how long each size is measured", 6)
    .option("--leaving", "targets that are leaving", 0)
    .action((options: Options) => void run(options))
    .parse(process.argv);

async function run({ seconds, leaving }: Options): Promise<void> {
    for (const size of fleetSizes) {
        const store = new DisposableStore();
        const fleet = await startFleet(size, store, leaving);
        await sleepFor(settleMs);
        const before = process.cpuUsage();
        await sleepFor(seconds * 1_000);
        const used = process.cpuUsage(before);
        const usedMs = (used.user + used.system) / 1_000;
        const mean = (read: (state: PeerState) => number): number =>
            fleet.reduce((sum, state) => sum + read(state), 0) / size;
        const messageBytes = mean(state => state.round.messageBytes);
        const periodMs = mean(state => state.round.periodMs);
        const sentPerSecond = ((size - 1) * messageBytes * 1_000) / periodMs;
        process.stdout.write(
            `${size} routers: ${messageBytes.toFixed(0)} B a message, a round each ${periodMs.toFixed(0)} ms, ` +
                `${sentPerSecond.toFixed(0)} B a second sent by each, ` +
                `${(usedMs / seconds / size / 10).toFixed(2)} % of a core each\n`,
        );
        store.dispose();
    }
    process.exit(0);
}

async function startFleet(size: number, store: DisposableStore, leaving: number): Promise<readonly PeerState[]> {
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
            seedIps: ips.slice(0, 3),
            clock,
            listOwnLoads: () =>
                engines.slice(0, requestsUnderWay).map(targetHash => ({
                    targetHash,
                    waitingTokens: random.next() * mostWaitingTokens,
                    running: 1,
                    writtenTokens: random.next() * mostWaitingTokens,
                })),
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
            getCondition: () => ({
                dataCentre: "dc-central-a",
                processorShare: 0.25,
                utilization: 0.5,
                isWithdrawn: false,
            }),
            listLeaving: () =>
                engines.slice(0, leaving).map(targetHash => ({ targetHash, startedAtMs: startedAtMs + targetHash })),
            onDidUpdatePeerLoads: () => undefined,
            onDidReceiveMessage: () => undefined,
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
                    isRelaying: () => false,
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
    return fleet.map(({ state }) => state);
}

function sleepFor(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
