import { err, ok, type Result } from "neverthrow";
import { CancellationTokenSource, type CancellationToken } from "../base/cancellation.js";
import { decodeAnswerReport } from "../control/answerReport.js";
import type { ControlError } from "../control/errors.js";
import type { ControlHost } from "../control/host.js";
import type { DaemonStatus } from "../control/schemas.js";
import { createControlApp, listenOn, type HttpListener } from "../control/server.js";
import { BodyBudget } from "../decisions/limits/bodyBudget.js";
import type { AcceptedDocument, EnvironmentDocument } from "../document/schema.js";
import type { AgentReport } from "../fleet/entities.js";
import { Evictor } from "../fleet/evictor.js";
import { verifyIssuedKey } from "../fleet/keys/issuedKey.js";
import { defaultRouterOptions } from "../fleet/router/options.js";
import { RouterCore } from "../fleet/router/routerCore.js";
import type { Vm } from "../infrastructure/vmList.js";
import { sleepOnTimer } from "../base/sleep.js";
import { AgentDirectory } from "../router/agentDirectory.js";
import { AgentSelection } from "../router/agentSelection.js";
import { pickAgents } from "../router/agentSubset.js";
import { CallerRequests } from "../router/callerRequests.js";
import { createCallerApp } from "../router/callerServer.js";
import { Exchange, type ExchangeHost } from "../router/exchange.js";
import { RosterKeyDirectory } from "../router/keyDirectory.js";
import { LostAgents } from "../router/lostAgents.js";
import { RouterService, type ReportOnAnswer } from "../router/routerService.js";
import { WorkSender } from "../router/workSender.js";
import type { CommonParts } from "./commonParts.js";
import type { Daemon } from "./daemon.js";
import { DaemonHost } from "./daemonHost.js";
import type { RouterSettings } from "./settings.js";

/**
 * Time between the health check's "not ready" and the last accepted connection. A balancer looks every second or two; were
 * the listener closed at once, callers that it still sends here would be refused.
 */
const balancerGraceMs = 3_000;
const bytesPerMb = 1_048_576;

/** Starts a daemon of role router. Errors: an address is taken. */
export async function startRouter(parts: CommonParts, settings: RouterSettings): Promise<Result<Daemon, ControlError>> {
    const daemon = new RouterDaemon(parts, settings);
    const listening = await daemon.listen();
    if (listening.isErr()) {
        daemon.dispose();
        return err(listening.error);
    }
    daemon.start();
    return ok(daemon);
}

class RouterDaemon extends DaemonHost implements ExchangeHost {
    private readonly core: RouterCore;
    private readonly directory: AgentDirectory;
    private readonly service: RouterService;
    private readonly exchange: Exchange;
    private readonly requests: CallerRequests;
    private readonly reports = new Map<string, AgentReport>();
    private readonly lostAgents: LostAgents;
    private readonly selection = new AgentSelection(agentId => this.service.hasTriesAt(agentId));
    private readonly lifetime = this.store.add(new CancellationTokenSource());
    private readonly evictor: Evictor;
    private callers: HttpListener | undefined;
    private stopping = false;
    /** Kinds of the services when the agents were last chosen. */
    private kinds = "";

    public constructor(
        parts: CommonParts,
        private readonly settings: RouterSettings,
    ) {
        super(parts, () => []);
        const { clock, scheduler, random, events, logger, metrics, secret, incarnation } = parts;
        const { daemonId, dataCentre, exchangePeriodMs } = settings;
        this.core = new RouterCore(daemonId, dataCentre, defaultRouterOptions, events, random);
        const meter = { add: (bytes: number) => this.recordTraffic(bytes) };
        this.directory = this.store.add(new AgentDirectory(secret, meter));
        const sender = this.store.add(new WorkSender(daemonId, secret, clock, events, this.core));
        this.service = this.store.add(
            new RouterService({
                core: this.core,
                directory: this.directory,
                sender,
                clock,
                scheduler,
                logger,
                metrics,
                events,
                findIssuedHome: key =>
                    verifyIssuedKey(secret, key)
                        .map(claims => claims.agentId)
                        .unwrapOr(undefined),
            }),
        );
        this.lostAgents = this.store.add(new LostAgents(this.service, clock, scheduler));
        this.exchange = this.store.add(
            new Exchange({
                routerId: daemonId,
                incarnation,
                periodMs: exchangePeriodMs,
                directory: this.directory,
                host: this,
                events,
                scheduler,
                random,
            }),
        );
        const keys = new RosterKeyDirectory({
            secret,
            clock,
            random,
            listRoster: () => parts.listRoster(),
            listReports: () => [...this.reports.values()],
        });
        this.requests = new CallerRequests({
            service: this.service,
            keys,
            clock,
            logger,
            getDocument: () => parts.documents.current,
            isStopping: () => this.stopping,
            bodyBudget: new BodyBudget(settings.clientLimits.bodiesMb * bytesPerMb),
        });
        this.evictor = new Evictor(clock);
    }

    public async listen(): Promise<Result<void, ControlError>> {
        const { listen, callers } = this.settings;
        const control = createControlApp(this, this.requests, this.parts.secret);
        const { connections } = this.parts;
        const controlListener = await listenOn(control, listen.host, listen.port, connections);
        if (controlListener.isErr()) {
            return err(controlListener.error);
        }
        this.store.add(controlListener.value);
        const app = createCallerApp(this.requests);
        return (await listenOn(app, callers.host, callers.port, connections)).map(listener => {
            this.callers = this.store.add(listener);
        });
    }

    public start(): void {
        const { documents, roster } = this.parts;
        this.store.add(
            documents.onDidAccept(accepted => {
                this.service.send({ type: "documentAccepted", ...accepted });
                this.membership.update();
                this.updateKinds(accepted.document);
            }),
        );
        this.store.add(roster.onDidChange(() => this.updateDirectory()));
        this.store.add(this.parts.vms.onDidRead(vms => this.removeGone(vms)));
        this.store.add(this.parts.onDidReadPeerRoster(() => this.updateDirectory()));
        this.store.add(this.service.onDidReport(report => this.handleAnswerReport(report)));
        this.store.add(this.service.onDidFailToReach(agentId => this.exchange.runNow(agentId)));
        this.parts.start();
        this.membership.update();
    }

    public getStatus(): DaemonStatus {
        return {
            ...this.membership.describeSelf(),
            phase: this.stopping ? "stopping" : "serving",
            waiting: this.core.countWaiting(),
            running: this.core.countRunning(),
        };
    }

    public listShares(): ReturnType<ControlHost["listShares"]> {
        return this.core.listShares();
    }

    protected async stopTaking(token: CancellationToken): Promise<void> {
        this.stopping = true;
        await sleepOnTimer(balancerGraceMs, token);
        this.callers?.stopAccepting();
        this.service.send({ type: "stopping" });
    }

    protected countOpen(): number {
        return this.service.openCount;
    }

    protected countUnsent(): number {
        return this.callers?.unsentResponses ?? 0;
    }

    protected stopListening(): void {
        // The control API answers until the process ends, so that operators see the stop.
    }

    public get document(): AcceptedDocument | undefined {
        return this.parts.documents.buildPeerDocument();
    }

    public applyDocument(document: AcceptedDocument): void {
        this.parts.documents.applyPeerDocument(document);
    }

    public createClaims(agentId: string, sinceVersion: number): ReturnType<RouterCore["createClaims"]> {
        return this.core.createClaims(agentId, sinceVersion);
    }

    public handleReport(report: AgentReport): void {
        const { agentId } = report.identity;
        if (this.lostAgents.remove(agentId)) {
            this.parts.logger.write("info", "an agent answers again", { agentId });
        }
        this.reports.set(report.identity.agentId, report);
        this.service.send({ type: "agentReported", report: this.selection.buildReport(report) });
        if (this.selection.isFinished(agentId)) {
            this.updateDirectory();
        }
    }

    public handleLost(agentId: string): void {
        this.parts.logger.write("warn", "an agent does not answer", { agentId });
        this.lostAgents.add(agentId);
        this.reports.delete(agentId);
        this.service.send({ type: "agentLost", agentId });
    }

    private recordTraffic(bytes: number): void {
        this.parts.metrics.increment("control.bytes", {}, bytes);
        this.exchange.observeBytes(bytes);
    }

    /** Takes agents out of the roster whose VM is gone; more than one router may do so, the first record counts. */
    private removeGone(vms: readonly Vm[]): void {
        const agents = this.parts.listRoster().filter(entry => entry.role === "agent");
        const gone = this.evictor.pick(vms, agents, daemonId => !this.reports.has(daemonId));
        for (const { daemonId } of gone) {
            const member = this.parts.roster.members.get(daemonId);
            if (member !== undefined) {
                void this.membership.current?.removeMember(member, this.lifetime.token);
            }
        }
    }

    private handleAnswerReport({ agentId, service, clientAccount, report }: ReportOnAnswer): void {
        const known = this.reports.get(agentId);
        const whole = known === undefined ? undefined : decodeAnswerReport(report, known, service, clientAccount);
        if (whole !== undefined) {
            this.handleReport(whole);
        }
    }

    /** Choosing the agents anew takes some milliseconds in a large fleet, so not for each change of the document. */
    private updateKinds(document: EnvironmentDocument): void {
        const kinds = JSON.stringify(Object.entries(document.services).map(([name, service]) => [name, service.kind]));
        if (kinds !== this.kinds) {
            this.kinds = kinds;
            this.updateDirectory();
        }
    }

    private updateDirectory(): void {
        const { documents, settings } = this.parts;
        const roster = this.parts.listRoster();
        const chosen = pickAgents(settings.daemonId, roster, documents.current?.document);
        const removed = this.directory.update(this.selection.update(chosen, roster, this.directory.list()));
        removed.forEach(agentId => this.handleLost(agentId));
        this.exchange.update();
        // The core learns from the next report that these agents get no new requests.
        this.selection.listFinishing().forEach(agentId => this.exchange.runNow(agentId));
    }
}
