import { okAsync } from "neverthrow";
import type { Clock } from "../../src/base/clock.js";
import type { SetTimer } from "../../src/base/timers.js";
import { NoopLogger } from "../../src/base/log.js";
import type { Random } from "../../src/base/random.js";
import { DenialCache } from "../../src/decisions/admission/denialCache.js";
import { AccountShares, type ReportedRouter } from "../../src/decisions/shares/accountShares.js";
import { FirstTokenModel } from "../../src/decisions/placement/firstTokenModel.js";
import { IdleShare } from "../../src/decisions/shares/idleShare.js";
import { OutputLength } from "../../src/decisions/shares/outputLength.js";
import { RetryBudget } from "../../src/decisions/retries/retryBudget.js";
import type { GatewayConfiguration } from "../../src/gateway/configuration.js";
import { ConfigurationHolder } from "../../src/gateway/configurationHolder.js";
import type { TargetEntry } from "../../src/gateway/fleetSource.js";
import type { GatewayContext } from "../../src/gateway/gatewayContext.js";
import { createGrants, createPrefillShares } from "../../src/gateway/grants/createGrants.js";
import type { GrantTransport } from "../../src/gateway/grants/grantClient.js";
import type { GrantExchange } from "../../src/gateway/grants/grantExchange.js";
import type { GrantOwner } from "../../src/gateway/grants/grantOwner.js";
import type { GrantSettings } from "../../src/gateway/grants/spareCapacity.js";
import { PeerState } from "../../src/gateway/peers/peerState.js";
import type { PeerView } from "../../src/gateway/peers/peerView.js";
import { TargetLoads } from "../../src/gateway/peers/targetLoads.js";
import { Quarantine } from "../../src/gateway/quarantine/quarantine.js";
import { Rollouts } from "../../src/gateway/rollouts/rollouts.js";
import { LazyMap } from "../../src/gateway/lazyMap.js";
import { gatewaySettingsSchema, type GatewaySettings } from "../../src/gateway/settings.js";
import { ShutdownDeadline } from "../../src/gateway/shutdownDeadline.js";
import { NoExpiryGrace } from "../../src/decisions/health/recordExpiryPolicy.js";
import { StreamVersions } from "../../src/gateway/streams/streamVersions.js";
import { TargetDirectory } from "../../src/gateway/targetDirectory.js";
import { PlatformHeaders } from "../../platform/headers.js";

/** What a {@link ModelRouter} is put together from. */
export interface ModelRouterOptions {
    readonly index: number;
    readonly clock: Clock;
    readonly random: Random;
    readonly configuration: GatewayConfiguration;
    readonly targets: readonly TargetEntry[];
    /** Span of the accounts' shares; milliseconds. */
    readonly windowMs: number;
    /** Replaces what peers reported of accounts; undefined: as received. */
    readonly getExactUses: (() => readonly ReportedRouter[]) | undefined;
    readonly transport: GrantTransport;
    /** Whether the router reports targets that are leaving to its peers; true when left out. */
    readonly reportsLeaving?: boolean;
    /** Whether the router keeps up; undefined: always. */
    readonly load?: GatewayContext["load"];
    readonly setTimer: SetTimer;
    /** "a" when left out. */
    readonly dataCentre?: string;
    /** Part of a core that it may use; 1 when left out. */
    readonly processorShare?: number;
    /** Settings that differ from their defaults. */
    readonly settings?: ModelSettings;
}

/** Settings of a model router. */
export type ModelSettings = GrantSettings & Partial<Pick<GatewaySettings, "dataCentre" | "interDataCentreMsPerKb">>;

const seedRouters = 3;
const callersPort = 8_783;
const readinessPort = 8_780;

/** One router of a modelled fleet: the daemon's own decisions and state, without its sockets. */
export class ModelRouter {
    public readonly context: GatewayContext;
    public readonly peers: PeerState;
    public readonly directory: TargetDirectory;
    public readonly shares: AccountShares;
    public readonly grants: GrantExchange;
    public readonly owner: GrantOwner;

    public constructor(options: ModelRouterOptions) {
        const { index, clock, random, windowMs } = options;
        const logger = new NoopLogger();
        this.directory = new TargetDirectory({
            clock,
            random,
            logger,
            connectionLimits: { connectTimeoutMs: 1, mostAnswerBytes: 1 },
            expiryPolicy: new NoExpiryGrace(),
        });
        this.shares = new AccountShares(windowMs);
        const loads = new TargetLoads(this.directory);
        this.peers = new PeerState({
            own: { routerId: formatRouterId(index), ip: formatRouterIp(index) },
            seedIps: Array.from({ length: seedRouters }, (...[, seed]) => formatRouterIp(seed)),
            clock,
            listOwnLoads: () => loads.listOwn(),
            listOwnAccounts: () => this.shares.listOwnAccounts(clock.nowMs()),
            listLeaving: () => (options.reportsLeaving === false ? [] : this.directory.listLeaving()),
            getCondition: () => ({
                dataCentre: options.dataCentre ?? "a",
                processorShare: options.processorShare ?? 1,
                utilization: 0,
                isWithdrawn: false,
            }),
            onDidUpdatePeerLoads: sums => loads.applyPeerLoads(sums),
            onDidReceiveMessage: message => {
                loads.applyMessage(message);
                this.directory.applyLeaving(message.leaving);
            },
        });
        const firstTokenModels = new LazyMap(() => new FirstTokenModel());
        const readingShares = createPrefillShares(options.settings ?? {});
        const grants = createGrants({
            ownId: formatRouterId(index),
            peers: this.peers,
            directory: this.directory,
            firstTokenModels,
            prefillShares: readingShares,
            settings: options.settings,
            transport: options.transport,
            clock,
            setTimer: options.setTimer,
        });
        this.grants = grants.exchange;
        this.owner = grants.owner;
        this.context = {
            settings: createSettings(index, options.settings),
            clock,
            random,
            logger,
            codec: new PlatformHeaders(),
            configuration: new ConfigurationHolder(),
            directory: this.directory,
            peers: createPeerView(this.peers, options.getExactUses),
            grants: grants.client,
            quarantine: createQuarantine(options, this.peers),
            rollouts: createRollouts(options, this.peers, this.directory),
            streams: createStreams(options, this.peers, this.directory),
            load: options.load ?? { shedShare: 0, loop: { delayMs: 0, utilization: 0, recentUtilization: 0 } },
            shares: this.shares,
            shutdown: new ShutdownDeadline(clock),
            retryBudgets: new LazyMap(() => new RetryBudget()),
            firstTokenModels,
            prefillShares: readingShares,
            denials: new LazyMap(() => new DenialCache()),
            idleShares: new LazyMap(() => new IdleShare()),
            outputLengths: new LazyMap(() => new OutputLength()),
        };
        this.applyFleet(options.configuration, options.targets);
    }

    private applyFleet(configuration: GatewayConfiguration, targets: readonly TargetEntry[]): void {
        this.context.configuration.apply(configuration, this.context.clock.nowMs());
        this.directory.applyConfiguration(configuration);
        targets.forEach(entry => this.directory.applyChange({ kind: "target", id: entry.id, entry }));
    }
}

/** Address of the router with this index. */
export function formatRouterIp(index: number): string {
    return `10.0.${Math.floor(index / 250)}.${(index % 250) + 1}`;
}

/** Name of the router with this index. */
export function formatRouterId(index: number): string {
    return `edge-dc-central-a-${index}`;
}

/** No service is rolled out, so that all requests may go to all targets. */
function createRollouts(options: ModelRouterOptions, peers: PeerState, directory: TargetDirectory): Rollouts {
    const { index, clock, random, setTimer } = options;
    return new Rollouts({
        ownId: formatRouterId(index),
        peers,
        directory,
        records: {
            read: () => okAsync({ status: undefined, endOffset: 0 }),
            write: () => okAsync("superseded"),
        },
        transport: { sendRollout: () => undefined },
        clock,
        random,
        setTimer,
        logger: new NoopLogger(),
        getLimit: () => ({ share: 0, slack: 0 }),
    });
}

/** Model engines have one version, so that no record is sent. */
function createStreams(options: ModelRouterOptions, peers: PeerState, directory: TargetDirectory): StreamVersions {
    const { index, clock, setTimer } = options;
    const transport = { sendStreamVersions: () => undefined };
    const ownId = formatRouterId(index);
    const view = { hasFreshView: () => true, getCoveredUntilMs: () => clock.nowMs() };
    return new StreamVersions({ ownId, peers, directory, transport, clock, setTimer, ...view });
}

/** Model engines do not crash under requests, so that the quarantine stays empty. */
function createQuarantine({ index, clock, random, setTimer }: ModelRouterOptions, peers: PeerState): Quarantine {
    const records = {
        read: () => okAsync([]),
        write: () => okAsync(undefined),
        remove: () => okAsync(undefined),
    };
    return new Quarantine({
        ownId: formatRouterId(index),
        peers,
        transport: { sendToAll: () => undefined },
        probe: { hasEnded: () => Promise.resolve(false) },
        partTransport: { sendPartsToAll: () => undefined },
        records,
        partRecords: records,
        clock,
        random,
        setTimer,
        sleep: () => Promise.resolve(),
        logger: new NoopLogger(),
    });
}

function createPeerView(peers: PeerState, getExactUses: ModelRouterOptions["getExactUses"]): PeerView {
    return {
        get routers() {
            return peers.routers;
        },
        get accountReports() {
            return getExactUses === undefined ? peers.accountReports : getExactUses();
        },
        get accountSource() {
            return peers.accountSource;
        },
        get conditions() {
            return peers.conditions;
        },
        get round() {
            return peers.round;
        },
        countMissing: periodMs => peers.countMissing(periodMs),
        recordEnd: routerId => peers.recordEnd(routerId),
        traffic: peers.traffic,
        recordPrefill: (targetHash, partId, tokens) => peers.recordPrefill(targetHash, partId, tokens),
    };
}

function createSettings(index: number, settings: ModelSettings = {}): GatewayContext["settings"] {
    const ip = formatRouterIp(index);
    return gatewaySettingsSchema.parse({
        daemonId: formatRouterId(index),
        ip,
        dataCentre: "a",
        callers: `${ip}:${callersPort}`,
        readiness: `${ip}:${readinessPort}`,
        peerPorts: [7_400, 7_415],
        seeds: [],
        store: { address: "10.200.0.1:1" },
        limits: { memoryMb: 250, maxDescriptors: 4_096 },
        retryBudget: { slack: 0 },
        coldLimit: { slack: 0 },
        ...settings,
    });
}
