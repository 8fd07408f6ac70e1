import { CancellationTokenSource } from "../base/cancellation.js";
import { SystemClock, type Clock } from "../base/clock.js";
import { Emitter } from "../base/event.js";
import { DisposableStore, type Disposable } from "../base/lifecycle.js";
import { RoarrLogger, type Logger } from "../base/log.js";
import { NoopMetrics, StatsdMetrics, type Metrics } from "../base/metrics.js";
import { SystemRandom, type Random } from "../base/random.js";
import { createControlClient } from "../control/client.js";
import type { RosterEntry } from "../control/schemas.js";
import { EventRing } from "../events/eventRing.js";
import { HybridClock } from "../events/hybridClock.js";
import { TimerScheduler, type Scheduler } from "../fleet/coreRunner.js";
import { ClientConnectionGuard } from "../http/clientConnectionGuard.js";
import type { HttpConnectionOptions } from "../http/httpConnections.js";
import { DocumentWatcher } from "../fleet/documentWatcher.js";
import { RosterWatcher } from "../fleet/rosterWatcher.js";
import { VmWatcher } from "../fleet/vmWatcher.js";
import { HttpLogService } from "../infrastructure/httpLogService.js";
import { HttpVmListService } from "../infrastructure/httpVmListService.js";
import { sleepOnTimer } from "../base/sleep.js";
import type { Settings } from "./settings.js";

const peerRetryMs = 1_000;
const bytesPerMb = 1_048_576;

/** What daemons of both roles are built from; disposing it ends everything it made. */
export class CommonParts implements Disposable {
    private readonly store = new DisposableStore();
    private readonly lifetime = this.store.add(new CancellationTokenSource());
    public readonly clock: Clock = new SystemClock();
    public readonly random: Random = new SystemRandom();
    public readonly scheduler: Scheduler = new TimerScheduler();
    public readonly logger: Logger;
    public readonly metrics: Metrics;
    /** Limits for the connections of all servers of this daemon. */
    public readonly connections: HttpConnectionOptions;
    public readonly events: EventRing;
    /** Later starts of one daemon have larger numbers. */
    public readonly incarnation: number;
    public readonly startedAtMs: number;
    public readonly log: HttpLogService;
    public readonly documents: DocumentWatcher;
    public readonly roster: RosterWatcher;
    public readonly vms: VmWatcher;

    private readonly peerRosterEmitter = this.store.add(new Emitter<void>());
    /** Roster entries that peers told, for as long as the log has not been read. */
    private peerRoster: readonly RosterEntry[] = [];

    /** Peers told a roster that may count. */
    public readonly onDidReadPeerRoster = this.peerRosterEmitter.onDidFire;

    public constructor(
        public readonly settings: Settings,
        public readonly secret: string,
        public readonly version: string,
    ) {
        const { clock, random } = this;
        const { daemonId, environment, role, dataCentre } = settings;
        this.incarnation = clock.nowDate().getTime();
        this.startedAtMs = clock.nowMs();
        this.logger = new RoarrLogger(daemonId, settings.logLevel);
        const tags = { daemon: daemonId, role, dataCentre, environment };
        this.metrics = this.store.add(
            settings.statsd === undefined ? new NoopMetrics() : new StatsdMetrics(settings.statsd, tags),
        );
        const { heldInputMb, maxConnections, ...limits } = settings.clientLimits;
        const connectionLimits = { ...limits, maxHeldBytes: heldInputMb * bytesPerMb };
        const guard = new ClientConnectionGuard(clock, this.logger, () => connectionLimits);
        this.store.add(guard.onDidClose(reason => this.metrics.increment("connections.closed", { reason })));
        this.connections = { guard, maxConnections };
        const origin = { daemon: daemonId, incarnation: this.incarnation };
        this.events = new EventRing(new HybridClock(clock), origin, settings.eventRingSize);
        this.log = this.store.add(new HttpLogService({ url: settings.platform.url }));
        const { logRetentionMs } = settings.platform;
        const tail = { environment, log: this.log, clock, random, sleep: sleepOnTimer, logRetentionMs };
        this.documents = this.store.add(new DocumentWatcher({ ...tail, recorder: this.events }));
        this.roster = this.store.add(new RosterWatcher(tail));
        const vmList = this.store.add(new HttpVmListService({ url: settings.platform.url }));
        this.vms = this.store.add(new VmWatcher({ vms: vmList, scheduler: this.scheduler, random }));
    }

    /** Begins to follow the platform, and asks peers as long as the log has brought no document. */
    public start(): void {
        const { role, environment, dataCentre } = this.settings;
        this.events.record({ kind: "daemon-started", reason: role });
        this.logger.write("info", "started", { role, environment, dataCentre, version: this.version });
        this.store.add(
            this.documents.onDidAccept(({ offset }) => this.logger.write("info", "document in force", { offset })),
        );
        this.documents.start();
        this.roster.start();
        this.vms.start();
        void this.fetchFromPeers();
    }

    public dispose(): void {
        this.lifetime.cancel();
        this.store.dispose();
    }

    /** Members by the log's roster, or by peers' while the log has not been read yet. */
    public listRoster(): readonly RosterEntry[] {
        const members = [...this.roster.members.values()].map(member => member.entry);
        return this.roster.lastConfirmedAtMs === undefined && members.length === 0 ? this.peerRoster : members;
    }

    /**
     * A daemon that starts during an outage of the platform has no document, and would turn all callers away for as
     * long as the outage lasts. Its peers have the accepted document; offsets only rise, so an old one does no harm.
     */
    private async fetchFromPeers(): Promise<void> {
        const { token } = this.lifetime;
        while (!token.isCancelled && (this.documents.current === undefined || this.listRoster().length === 0)) {
            for (const address of this.settings.peers) {
                await this.fetchFromPeer(address);
            }
            await sleepOnTimer(peerRetryMs, token);
        }
    }

    private async fetchFromPeer(address: string): Promise<void> {
        const client = createControlClient({ address, secret: this.secret });
        const document = await client.fetchDocument(this.lifetime.token);
        document.map(accepted => accepted !== undefined && this.documents.applyPeerDocument(accepted));
        const roster = await client.fetchRoster(this.lifetime.token);
        if (roster.isOk()) {
            this.peerRoster = roster.value;
            this.peerRosterEmitter.fire();
        }
        client.dispose();
    }
}
