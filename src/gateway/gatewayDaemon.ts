import type { Hono } from "hono";
import { CancellationTokenSource } from "../base/cancellation.js";
import type { Clock } from "../base/clock.js";
import { DisposableStore, type Disposable } from "../base/lifecycle.js";
import type { Logger } from "../base/log.js";
import type { Random } from "../base/random.js";
import { runTaskLogged } from "../base/runLogged.js";
import { sleepOnTimer } from "../base/sleep.js";
import { setTimerAfterReads } from "../base/timers.js";
import { AccountShares } from "../decisions/shares/accountShares.js";
import { computeRetryFloors, RetryBudget } from "../decisions/retries/retryBudget.js";
import { listSeedIps, parseAddress } from "./addresses.js";
import { AccountSummary } from "./accountSummary.js";
import { CallerServer } from "./callerServer.js";
import { createConnectionGuard, createManagementOptions } from "./callers/createConnectionGuard.js";
import { NeighbourLoads } from "./callers/neighbourLoads.js";
import { ConnectionSharing, createSharingOptions, type SharedConnectionCounts } from "./connectionSharing.js";
import { ConfigurationHolder } from "./configurationHolder.js";
import { createDirectory } from "./createDirectory.js";
import { hasFreshView } from "./drainBudget.js";
import type { EngineInspector } from "./engineInspector.js";
import { CachedPartsLoader } from "./cachedPartsLoader.js";
import { FleetChangeHandler } from "./fleetChangeHandler.js";
import type { FleetSource } from "./fleetSource.js";
import type { GatewayContext } from "./gatewayContext.js";
import { GatewayService } from "./gatewayService.js";
import { GracefulStop } from "./gracefulStop.js";
import { createGrants } from "./grants/createGrants.js";
import { Quarantine } from "./quarantine/quarantine.js";
import { ConnectProbe } from "./quarantine/targetProbe.js";
import { PeerExchange } from "./peers/peerExchange.js";
import { PeerState } from "./peers/peerState.js";
import { TargetLoads } from "./peers/targetLoads.js";
import type { LoadSource } from "./loadMonitor.js";
import { LazyMap } from "./lazyMap.js";
import { createLearnedState } from "./learnedState.js";
import { RequestLog } from "./requestLog.js";
import { Rollouts } from "./rollouts/rollouts.js";
import { createControlApp, createMetricsApp, createReadinessApp } from "./managementApps.js";
import { GatewayMetrics } from "./gatewayMetrics.js";
import { buildStatistics, describeRouter, describeState, listAccounts } from "./gatewayState.js";
import { SnapshotTransfer } from "./peers/snapshotTransfer.js";
import { listenOn, type HttpListener } from "../control/server.js";
import type { ClientConnectionGuard } from "../http/clientConnectionGuard.js";
import type { GatewaySettings } from "./settings.js";
import { ShutdownDeadline } from "./shutdownDeadline.js";
import { createStreams } from "./streams/createStreams.js";
import type { StreamVersions } from "./streams/streamVersions.js";
import type { HeaderCodec } from "./wire.js";

/** Dependencies of a {@link GatewayDaemon}. */
export interface GatewayDaemonOptions {
    readonly settings: GatewaySettings;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly codec: HeaderCodec;
    readonly source: FleetSource;
    readonly engines: EngineInspector;
    readonly load: LoadSource;
    /** Path of the balancer's health check. */
    readonly readinessPath: string;
}

const msPerSecond = 1_000;

/** A router that sends requests to targets directly: wires up its servers and the platform's changes, and shuts down gracefully. */
export class GatewayDaemon implements Disposable {
    private readonly store = new DisposableStore();
    private readonly lifetime = this.store.add(new CancellationTokenSource());
    private readonly context: GatewayContext;
    private readonly peers: PeerState;
    private readonly exchange: PeerExchange;
    private readonly service: GatewayService;
    private readonly callers: CallerServer;
    private readonly guard: ClientConnectionGuard;
    private readonly sharing: ConnectionSharing;
    private readonly load: LoadSource;
    private readonly neighbours: NeighbourLoads;
    private readonly metrics: GatewayMetrics;
    private readonly snapshotTransfer: SnapshotTransfer;
    private readonly cachedParts: CachedPartsLoader;
    private readonly quarantine: Quarantine;
    private readonly rollouts: Rollouts;
    private readonly streams: StreamVersions;
    private settings: GatewaySettings;
    private readonly listeners: HttpListener[] = [];
    private isStopping = false;
    private readonly gracefulStop: GracefulStop;
    private stopped: Promise<void> | undefined;

    public constructor(private readonly parts: GatewayDaemonOptions) {
        this.settings = parts.settings;
        const { settings, clock, random, logger, codec, source } = parts;
        const directory = this.store.add(createDirectory(settings, source, parts));
        const shares = new AccountShares(settings.shareWindowSeconds * msPerSecond);
        const loads = new TargetLoads(directory);
        this.peers = new PeerState({
            own: { routerId: settings.daemonId, ip: settings.ip },
            seedIps: listSeedIps(settings),
            clock,
            listOwnLoads: () => loads.listOwn(),
            listOwnAccounts: () => shares.listOwnAccounts(clock.nowMs()),
            listLeaving: () => directory.listLeaving(),
            getCondition: () =>
                describeRouter(
                    this.settings,
                    this.load,
                    this.isStopping || this.neighbours.shouldLeaveBalancer,
                    this.context.configuration.findFreshVersion(source),
                ),
            onDidUpdatePeerLoads: totals => {
                loads.applyPeerLoads(totals);
                this.updateRetryFloors();
            },
            onDidReceiveMessage: message => {
                loads.applyMessage(message);
                directory.applyLeaving(message.leaving);
            },
        });
        const common = {
            ownId: settings.daemonId,
            peers: this.peers,
            directory,
            clock,
            random,
            logger,
            setTimer: setTimerAfterReads,
            sleep: sleepOnTimer,
        };
        const learned = createLearnedState(settings);
        const shutdown = this.store.add(new ShutdownDeadline(clock));
        const grants = createGrants({
            ...common,
            ...learned,
            settings,
            transport: { send: (routerId, message) => this.exchange.send(routerId, message) },
        });
        this.store.add(grants.client);
        this.exchange = this.store.add(
            new PeerExchange({
                ip: settings.ip,
                port: settings.peerPorts[0],
                state: this.peers,
                clock,
                logger,
                isRelaying: () => this.settings.relaysPeerMessages,
                onDidReceiveGrantMessage: (senderId, message) => grants.exchange.handleMessage(senderId, message),
                onDidReceiveCrashMessage: message => this.quarantine.applyMessage(message),
                onDidReceivePartMessage: message => this.quarantine.parts.applyMessage(message),
                onDidReceiveRolloutMessage: (senderId, message) => this.rollouts.applyMessage(senderId, message),
                onDidReceiveStreamVersionMessage: (senderId, message) => this.streams.applyMessage(senderId, message),
            }),
        );
        const isViewFresh = (): boolean => hasFreshView(this.settings, source.health.targets, clock);
        const streamOptions = { ...common, source, transport: this.exchange, hasFreshView: isViewFresh };
        this.streams = createStreams(streamOptions, this.store);
        this.quarantine = this.store.add(
            new Quarantine({
                ...common,
                transport: this.exchange,
                partTransport: this.exchange,
                probe: new ConnectProbe(),
                records: source.heldRequests,
                partRecords: source.heldParts,
            }),
        );
        this.rollouts = this.store.add(
            new Rollouts({
                ...common,
                records: source.rollouts,
                transport: this.exchange,
                getLimit: () => this.settings.exposure,
            }),
        );
        this.load = this.store.add(parts.load);
        const getSettings = (): GatewaySettings => this.settings;
        this.context = {
            get settings() {
                return getSettings();
            },
            clock,
            random,
            logger,
            codec,
            directory,
            configuration: new ConfigurationHolder(),
            peers: this.peers,
            grants: grants.client,
            quarantine: this.quarantine,
            rollouts: this.rollouts,
            streams: this.streams,
            load: this.load,
            shares,
            shutdown,
            retryBudgets: new LazyMap(
                () =>
                    new RetryBudget(
                        computeRetryFloors(this.settings.retryBudget.slack, this.peers.routers),
                        settings.retryBudget.windowSeconds * msPerSecond,
                    ),
            ),
            ...learned,
        };
        this.neighbours = new NeighbourLoads({ getSettings, ...common, load: this.load });
        this.service = this.store.add(new GatewayService(this.context, this.neighbours));
        this.sharing = this.store.add(
            new ConnectionSharing(
                createSharingOptions(settings, {
                    ...common,
                    load: this.load,
                    getConfigurationVersion: () => this.context.configuration.current?.version,
                }),
                socket => this.callers.handleConnection(socket),
            ),
        );
        this.guard = createConnectionGuard(clock, logger, getSettings);
        this.callers = this.store.add(
            new CallerServer(
                this.service,
                logger,
                () => this.neighbours.shouldLeaveBalancer,
                settings,
                this.guard,
                this.sharing,
            ),
        );
        this.gracefulStop = new GracefulStop({
            logger,
            shutdown,
            service: this.service,
            callers: this.callers,
            sharing: this.sharing,
            streams: this.streams,
            listeners: this.listeners,
        });
        this.metrics = new GatewayMetrics(() =>
            buildStatistics(this.context, source, this.service, this.rollouts, this.sharing, this.callers, this.guard),
        );
        this.snapshotTransfer = this.store.add(
            new SnapshotTransfer({ source, logger, sleep: sleepOnTimer, listAddresses: () => this.listControlPeers() }),
        );
        this.cachedParts = this.store.add(new CachedPartsLoader(parts.engines, logger, directory));
        const requestLog = this.store.add(new RequestLog(logger, clock));
        this.store.add(new AccountSummary(logger, () => listAccounts(this.context, this.service.accounts)));
        this.store.add(directory.onDidReceiveSignal(signal => this.metrics.recordSignal(signal)));
        this.store.add(source);
        this.store.add(source.onDidRewind(() => this.quarantine.writeHeldRecords()));
        this.store.add(source.onDidRewind(() => this.rollouts.handleRewind()));
        const changes = new FleetChangeHandler(this.context, this.rollouts, limits => this.callers.applyLimits(limits));
        this.store.add(source.onDidChange(change => changes.apply(change)));
        this.store.add(
            this.service.onDidEnd(ended => {
                requestLog.write(ended);
                this.metrics.recordEnd(ended);
            }),
        );
    }

    /** Whether the balancer should send connections to this router. */
    public get isReady(): boolean {
        return (
            !this.isStopping &&
            !this.neighbours.shouldLeaveBalancer &&
            this.parts.source.isUsable &&
            this.context.configuration.current !== undefined
        );
    }

    /** Number of routers in the peer view, including this one. */
    public get knownRouterCount(): number {
        return this.peers.routers.routerIds.length;
    }

    public get sharedConnections(): SharedConnectionCounts {
        return this.sharing.shared;
    }

    public async start(): Promise<void> {
        const { settings, source, logger } = this.parts;
        source.start();
        this.load.start();
        await this.exchange.start();
        await this.sharing.listen();
        await this.callers.listen(...parseAddress(settings.callers));
        await this.listenAt(
            createReadinessApp(this.parts.readinessPath, () => this.isReady),
            settings.readiness,
        );
        if (settings.control !== undefined) {
            await this.listenAt(createControlApp(source, this.rollouts, this.context), settings.control);
        }
        if (settings.metricsPort !== undefined) {
            const app = createMetricsApp(this.metrics, () => describeState(this.context, source));
            await this.listenAt(app, `${settings.ip}:${settings.metricsPort}`);
        }
        runTaskLogged(logger, "fetching a snapshot failed", () => this.snapshotTransfer.run());
        runTaskLogged(logger, "loading cached parts failed", () => this.cachedParts.loadWhenUsable(source));
        runTaskLogged(logger, "loading held requests failed", () => this.quarantine.load());
        logger.write("info", "started", { role: "gateway", dataCentre: settings.dataCentre });
    }

    /**
     * Applies changed settings without interrupting service: limits and seeds are in force with the next request.
     * Listen addresses can't change while the process runs; such a change takes effect with the next start.
     */
    public applySettings(settings: GatewaySettings): void {
        const { logger } = this.parts;
        const before = this.settings;
        this.settings = settings;
        this.peers.setSeeds(listSeedIps(settings));
        if (before.callers !== settings.callers || before.readiness !== settings.readiness) {
            logger.write("warn", "changed listen addresses take effect after a restart", { callers: settings.callers });
        }
        logger.write("info", "settings in force");
    }

    /** Shuts down within the platform's grace period: fails readiness checks, then waits for open requests and connections. */
    public stop(): Promise<void> {
        this.isStopping = true;
        this.stopped ??= this.gracefulStop.run(this.settings.stopGraceSeconds * msPerSecond);
        return this.stopped;
    }

    public dispose(): void {
        this.lifetime.cancel();
        this.store.dispose();
    }

    private updateRetryFloors(): void {
        const floors = computeRetryFloors(this.settings.retryBudget.slack, this.peers.routers);
        this.context.retryBudgets.visitAll(budget => budget.setFloors(floors));
    }

    private async listenAt(app: Hono, address: string): Promise<void> {
        const [host, port] = parseAddress(address);
        const listener = await listenOn(app, host, port, createManagementOptions(this.guard, this.settings));
        if (listener.isErr()) {
            throw listener.error;
        }
        this.listeners.push(this.store.add(listener.value));
    }

    private listControlPeers(): readonly string[] {
        const { settings } = this;
        const port = settings.control === undefined ? undefined : parseAddress(settings.control)[1];
        const peers = port === undefined ? [] : this.peers.listAddresses().map(ip => `${ip}:${port}`);
        return [...new Set([...settings.seeds, ...peers])].filter(address => address !== settings.control);
    }
}
