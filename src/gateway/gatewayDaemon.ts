import { CancellationTokenSource, type CancellationToken } from "../base/cancellation.js";
import type { Clock } from "../base/clock.js";
import { DisposableStore, type Disposable } from "../base/lifecycle.js";
import type { Logger } from "../base/log.js";
import type { Random } from "../base/random.js";
import { sleepOnTimer } from "../base/sleep.js";
import { AccountShares } from "../decisions/accountShares.js";
import { FirstTokenModel } from "../decisions/firstTokenModel.js";
import { RetryBudget } from "../decisions/retryBudget.js";
import { CallerServer } from "./callerServer.js";
import { ConfigurationHolder } from "./configurationHolder.js";
import type { FleetChange, FleetSource } from "./fleetSource.js";
import type { GatewayContext } from "./gatewayContext.js";
import { GatewayService, type EndedRequest } from "./gatewayService.js";
import { PeerExchange } from "./peers/peerExchange.js";
import type { PartRead, TargetLoad } from "./peers/peerMessage.js";
import { Registry } from "./registry.js";
import { ReadinessServer } from "./readinessServer.js";
import type { GatewaySettings } from "./settings.js";
import { TargetDirectory } from "./targetDirectory.js";
import type { HeaderCodec } from "./wire.js";

/** What a {@link GatewayDaemon} is put together from. */
export interface GatewayParts {
    readonly settings: GatewaySettings;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly codec: HeaderCodec;
    readonly source: FleetSource;
    /** Path that the balancer asks for. */
    readonly readinessPath: string;
}

/** After two looks of the balancer, one a second, nothing new comes; the margin covers a late look. */
const leaveBalancerMs = 2_500;
const openPollMs = 50;
/** Left of the time to stop for closing sockets and ending the process. */
const exitMarginMs = 400;
/** Part of the fleet's slack for repeats that the routers hand out; the rest covers views of the fleet that differ. */
const usedSlack = 0.6;
const msPerSecond = 1_000;

/** A router that speaks to targets directly: servers, the platform's news, and the way it stops. */
export class GatewayDaemon implements Disposable {
    private readonly store = new DisposableStore();
    private readonly context: GatewayContext;
    private readonly peers: PeerExchange;
    private readonly service: GatewayService;
    private readonly callers: CallerServer;
    private readonly readiness: ReadinessServer;
    private isStopping = false;

    public constructor(private readonly parts: GatewayParts) {
        const { settings, clock, random, logger, codec, source } = parts;
        const directory = this.store.add(
            new TargetDirectory({ clock, random, logger, getHealth: () => source.health }),
        );
        const shares = new AccountShares(settings.shareWindowSeconds * msPerSecond);
        this.peers = this.store.add(
            new PeerExchange({
                routerId: settings.daemonId,
                ip: settings.ip,
                port: settings.peerPorts[0],
                seedIps: settings.seeds.map(seed => parseAddress(seed)[0]),
                clock,
                logger,
                listOwnLoads: () => this.listOwnLoads(),
                listOwnAccounts: () => shares.listOwn(clock.nowMs()),
                onDidHear: (loads, reads) => this.applyPeerWord(loads, reads),
            }),
        );
        this.context = {
            settings,
            clock,
            random,
            logger,
            codec,
            directory,
            configuration: new ConfigurationHolder(),
            peers: this.peers,
            shares,
            retryBudgets: new Registry(() => new RetryBudget({ perAccount: 1, perRouter: 1 })),
            firstTokenModels: new Registry(() => new FirstTokenModel()),
        };
        this.service = this.store.add(new GatewayService(this.context));
        this.callers = this.store.add(new CallerServer(this.service, logger, settings.limits.maxDescriptors));
        this.readiness = this.store.add(new ReadinessServer(parts.readinessPath, () => this.isReady));
        this.store.add(source);
        this.store.add(source.onDidChange(change => this.applyChange(change)));
        this.store.add(this.service.onDidEnd(ended => this.writeEnd(ended)));
    }

    public get isReady(): boolean {
        return !this.isStopping && this.parts.source.isComplete && this.context.configuration.current !== undefined;
    }

    public async start(): Promise<void> {
        const { settings, source, logger } = this.parts;
        source.start();
        const [host, port] = parseAddress(settings.callers);
        const [readyHost, readyPort] = parseAddress(settings.readiness);
        await this.peers.start();
        await Promise.all([this.callers.listen(host, port), this.readiness.listen(readyHost, readyPort)]);
        logger.write("info", "started", { role: "gateway", dataCentre: settings.dataCentre });
    }

    /** Graceful shutdown: leaves the balancer, ends what is open, and is done within the platform's time. */
    public async stop(): Promise<void> {
        const { logger, settings } = this.parts;
        this.isStopping = true;
        logger.write("info", "stopping", { openRequests: this.service.openRequests });
        const cancellation = new CancellationTokenSource();
        const timer = setTimeout(() => cancellation.cancel(), settings.stopGraceSeconds * msPerSecond - exitMarginMs);
        this.callers.closeWithAnswers();
        await sleepOnTimer(leaveBalancerMs, cancellation.token);
        this.service.refuseNew();
        this.callers.stopAccepting();
        await this.waitForOpen(cancellation.token);
        clearTimeout(timer);
        logger.write("info", "stopped", { openRequests: this.service.openRequests });
    }

    public dispose(): void {
        this.store.dispose();
    }

    private async waitForOpen(token: CancellationToken): Promise<void> {
        while (this.service.openRequests > 0 && !token.isCancelled) {
            await sleepOnTimer(openPollMs, token);
        }
    }

    private listOwnLoads(): readonly TargetLoad[] {
        return this.context.directory
            .listAll()
            .filter(target => target.ownRunning > 0)
            .map(({ id, ownWaitingTokens, ownRunning }) => ({
                targetId: id,
                waitingTokens: ownWaitingTokens,
                running: ownRunning,
            }));
    }

    private applyPeerWord(loads: ReadonlyMap<string, TargetLoad>, reads: readonly PartRead[]): void {
        const { directory, retryBudgets, settings } = this.context;
        for (const target of directory.listAll()) {
            target.peerLoad = loads.get(target.id) ?? { waitingTokens: 0, running: 0 };
        }
        for (const read of reads) {
            directory.find(read.targetId)?.recordPart(read.partId, read.tokens);
        }
        const { routerIds, unheard } = this.peers.routers;
        const perRouter = (settings.retryBudget.slack * usedSlack) / (routerIds.length + unheard);
        retryBudgets.visitAll(budget => budget.setFloors({ perAccount: perRouter, perRouter }));
    }

    private applyChange(change: FleetChange): void {
        const { configuration, directory, logger } = this.context;
        if (change.kind !== "configuration") {
            directory.applyChange(change);
            return;
        }
        const before = configuration.current?.version;
        const { version, limits } = change.configuration;
        if (!configuration.apply(change.configuration)) {
            logger.write("info", "an older configuration is left aside", { version, inForce: before });
            return;
        }
        directory.applyConfiguration(change.configuration);
        this.callers.applyLimits(limits);
        logger.write("info", "configuration in force", { version, before });
    }

    private writeEnd({ requestId, route, account, configurationVersion, tookMs, end }: EndedRequest): void {
        this.parts.logger.write("info", "request ended", {
            requestId,
            route,
            account,
            configurationVersion,
            tookMs: Math.round(tookMs),
            outcome: end.outcome,
            reason: end.reason,
            status: end.status,
            attempts: end.attempts,
            target: end.target,
            expectedMs: toWhole(end.expectedMs),
            tokensAhead: end.tokensAhead,
            firstOutputMs: toWhole(end.firstOutputMs),
            shareUse: end.shareUse === undefined ? undefined : Number(end.shareUse.toFixed(2)),
        });
    }
}

function toWhole(value: number | undefined): number | undefined {
    return value === undefined ? undefined : Math.round(value);
}

function parseAddress(address: string): readonly [string, number] {
    const [host, port] = address.split(":");
    return [host, Number(port)];
}
