import { err, ok, type Result } from "neverthrow";
import { AgentService } from "../agent/agentService.js";
import type { AnswerFollower } from "../agent/answerFollower.js";
import { KeyedWork } from "../agent/keyedWork.js";
import { ModelTargetClient } from "../agent/modelTargetClient.js";
import { PlainTargetClient } from "../agent/plainTargetClient.js";
import { TargetConnection } from "../agent/targetConnection.js";
import { TargetSwitch } from "../agent/targetSwitch.js";
import { LoadWatcher } from "../agent/loadWatcher.js";
import { OrderService, type OrderView } from "../agent/orderService.js";
import { addWorkRoute } from "../agent/workServer.js";
import type { ControlError } from "../control/errors.js";
import type { WorkEnvelope } from "../control/frames.js";
import type { ControlHost } from "../control/host.js";
import type { DaemonStatus } from "../control/schemas.js";
import { createControlApp, listenOn, type HttpListener } from "../control/server.js";
import type { AcceptedDocument } from "../document/schema.js";
import { AgentCore, defaultAgentOptions } from "../fleet/agent/agentCore.js";
import type { AgentMessage } from "../fleet/agentMessages.js";
import { KeyOwnerAuthority } from "../fleet/keys/keyOwnerAuthority.js";
import { verifyIssuedKey } from "../fleet/keys/issuedKey.js";
import { defaultKeyTableLimits, KeyTable } from "../fleet/keys/keyTable.js";
import { defaultKeyTiming } from "../fleet/keys/keyTiming.js";
import type { CommonParts } from "./commonParts.js";
import type { Daemon } from "./daemon.js";
import { DaemonHost } from "./daemonHost.js";
import { createKeyHistory } from "./keyHistory.js";
import { createOrderView } from "./orderView.js";
import type { AgentSettings } from "./settings.js";

const defaultMaxBodyBytes = 16 * 1024 * 1024;

/** Starts a daemon of role agent. Errors: its address is taken. */
export async function startAgent(parts: CommonParts, settings: AgentSettings): Promise<Result<Daemon, ControlError>> {
    const daemon = new AgentDaemon(parts, settings);
    const listener = await daemon.listen();
    if (listener.isErr()) {
        daemon.dispose();
        return err(listener.error);
    }
    daemon.start();
    return ok(daemon);
}

class AgentDaemon extends DaemonHost {
    private readonly core: AgentCore;
    private readonly service: AgentService;
    private readonly keyed: KeyedWork;
    private readonly authority: KeyOwnerAuthority;
    private readonly orders: OrderService;
    private listener: HttpListener | undefined;

    public constructor(
        parts: CommonParts,
        private readonly settings: AgentSettings,
    ) {
        super(parts, () => parts.documents.current?.document.targets[settings.target.name]?.services);
        const { clock, scheduler, logger, metrics, events, incarnation, random } = parts;
        const { daemonId, dataCentre } = settings;
        const identity = {
            agentId: daemonId,
            incarnation,
            targetName: settings.target.name,
            dataCentre,
            services: [],
        };
        this.core = new AgentCore(identity, defaultAgentOptions, events, random);
        const connection = this.store.add(new TargetConnection(settings.target.url));
        const model = new ModelTargetClient(connection, clock);
        const target = new TargetSwitch(model, new PlainTargetClient(connection));
        const documents = createDocumentPeer(parts);
        this.service = this.store.add(
            new AgentService({ core: this.core, target, documents, events, clock, scheduler, logger, metrics }),
        );
        this.authority = new KeyOwnerAuthority({ agentId: daemonId, incarnation }, parts.secret, defaultKeyTiming);
        const table = new KeyTable(this.authority, defaultKeyTableLimits);
        this.keyed = this.store.add(
            new KeyedWork({
                table,
                holder: this.service,
                clock,
                scheduler,
                recorder: events,
                findDelegateKey: envelope => this.findDelegateKey(envelope),
            }),
        );
        this.service.guard = this.keyed;
        const getView = (): OrderView | undefined => createOrderView(parts, this.membership, settings.target.name);
        this.orders = this.store.add(
            new OrderService({
                target: model,
                recorder: events,
                clock,
                scheduler,
                random,
                getView,
                confirmRoster: token => parts.roster.verify(token),
            }),
        );
        const send = (message: AgentMessage): void => this.service.send(message);
        const load = this.store.add(new LoadWatcher(target, settings.loadPeriodMs, scheduler, send));
        this.store.add(load.onDidReturn(() => this.orders.clear()));
    }

    public readonly agent = {
        handleExchange: (request: Parameters<AgentService["handleExchange"]>[0]) =>
            this.service.handleExchange(request),
        withdrawWork: (requestId: string) => this.service.withdrawWork(requestId),
    };

    public async listen(): Promise<Result<void, ControlError>> {
        const app = createControlApp(this, { isReady: () => this.isReady() }, this.parts.secret);
        const getMaxBodyBytes = (): number =>
            this.parts.documents.current?.document.limits.maxBodyBytes ?? defaultMaxBodyBytes;
        const taker = {
            takeWork: (envelope: WorkEnvelope, body: Buffer, follower: AnswerFollower) =>
                this.takeWork(envelope, body, follower),
            removeFollower: (requestId: string, follower: AnswerFollower) =>
                this.service.removeFollower(this.keyed.findHeldId(requestId), follower),
        };
        addWorkRoute(app, taker, this.parts.secret, getMaxBodyBytes);
        const { host, port } = this.settings.listen;
        return (await listenOn(app, host, port, this.parts.connections)).map(listener => {
            this.listener = this.store.add(listener);
        });
    }

    public start(): void {
        const { documents, roster, vms } = this.parts;
        this.store.add(documents.onDidAccept(accepted => this.applyDocument(accepted)));
        this.store.add(roster.onDidRead(() => this.updateAuthority()));
        this.store.add(roster.onDidRead(() => this.orders.update()));
        this.store.add(
            vms.onDidRead(list => {
                if (list.some(vm => vm.id === this.settings.vmId && vm.state === "leaving")) {
                    this.service.send({ type: "leaving" });
                }
            }),
        );
        this.parts.start();
    }

    public getStatus(): DaemonStatus {
        const report = this.core.createBriefReport();
        return {
            ...this.membership.describeSelf(),
            phase: report.phase,
            waiting: report.queued,
            running: report.running,
            window: report.window,
            cold: report.cold,
        };
    }

    public listShares(): ReturnType<ControlHost["listShares"]> {
        return this.core.listShares();
    }

    protected async stopTaking(): Promise<void> {
        this.service.send({ type: "leaving" });
    }

    protected countOpen(): number {
        return this.service.open;
    }

    protected countUnsent(): number {
        return this.listener?.unsentResponses ?? 0;
    }

    protected stopListening(): void {
        this.listener?.stopAccepting();
    }

    private isReady(): boolean {
        return this.parts.documents.current !== undefined;
    }

    /** A router that does not know yet that this agent is out may name this very agent; handed to itself, a key would stay. */
    private findDelegateKey({ delegateKey }: WorkEnvelope): string | undefined {
        if (this.core.phase === "serving" || delegateKey === undefined) {
            return undefined;
        }
        const home = verifyIssuedKey(this.parts.secret, delegateKey).map(claims => claims.agentId);
        return home.isOk() && home.value !== this.settings.daemonId ? delegateKey : undefined;
    }

    private takeWork(envelope: WorkEnvelope, body: Buffer, follower: AnswerFollower): void {
        if (envelope.idempotencyKey !== undefined && !envelope.idempotent) {
            this.keyed.takeWork(envelope, body, follower);
        } else {
            this.service.offerWork(this.service.createHeldWork(envelope, body, follower));
        }
    }

    private applyDocument(accepted: AcceptedDocument): void {
        this.service.send({ type: "documentAccepted", ...accepted });
        this.membership.update();
    }

    /** Tells the keys' authority what the log has confirmed, and from when on. */
    private updateAuthority(): void {
        const { roster, clock } = this.parts;
        const { lastConfirmedAtMs, lastConfirmedWallMs } = roster;
        if (lastConfirmedAtMs === undefined || lastConfirmedWallMs === undefined) {
            return;
        }
        const began = { nowMs: lastConfirmedAtMs, wallMs: lastConfirmedWallMs };
        const ended = { nowMs: clock.nowMs(), wallMs: clock.nowDate().getTime() };
        this.authority.update(createKeyHistory(roster.state), began, ended);
    }
}

function createDocumentPeer(parts: CommonParts): {
    readonly current: AcceptedDocument | undefined;
    applyPeerDocument(document: AcceptedDocument): void;
} {
    return {
        get current() {
            return parts.documents.buildPeerDocument();
        },
        applyPeerDocument: document => parts.documents.applyPeerDocument(document),
    };
}
