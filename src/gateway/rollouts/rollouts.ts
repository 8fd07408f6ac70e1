import { CancellationTokenSource } from "../../base/cancellation.js";
import type { Clock } from "../../base/clock.js";
import { DisposableStore, type Disposable } from "../../base/lifecycle.js";
import type { Logger } from "../../base/log.js";
import type { Random } from "../../base/random.js";
import type { SetTimer } from "../../base/timers.js";
import type { ExposureLimit } from "../../decisions/rollouts/exposureBudget.js";
import type { RolloutVerdict } from "../../decisions/rollouts/rolloutEvaluator.js";
import type { RouteEvidence, VersionSample } from "../../decisions/rollouts/versionEvidence.js";
import type { PeerView } from "../peers/peerView.js";
import type { Target } from "../target.js";
import type { TargetDirectory } from "../targetDirectory.js";
import type { AttemptOutcome } from "../attempt.js";
import { LazyMap } from "../lazyMap.js";
import { SlowResponseDetector, type ResponseTimes } from "./slowResponseDetector.js";
import { RequestVersions, type VersionSource } from "./requestVersions.js";
import { ResumptionVersions, type StreamVersionFilter } from "./resumptionVersions.js";
import { RolloutDecider } from "./rolloutDecider.js";
import type { RolloutMessage } from "./rolloutMessage.js";
import type { RolloutOrder, RolloutRecords, RolloutStatus } from "./rolloutRecords.js";
import { ServiceRollout } from "./serviceRollout.js";
import { SilentTargets } from "./silentTargets.js";

/** Sends this router's reports; delivery is not guaranteed, since the next report replaces a lost one. */
export interface RolloutTransport {
    sendRollout(routerId: string, message: RolloutMessage): void;
}

/** Dependencies of {@link Rollouts}. */
export interface RolloutsOptions {
    readonly ownId: string;
    readonly peers: Pick<PeerView, "routers" | "conditions">;
    readonly directory: Pick<TargetDirectory, "listOpen" | "listAll" | "findService">;
    readonly records: RolloutRecords;
    readonly transport: RolloutTransport;
    readonly clock: Clock;
    readonly random: Random;
    readonly setTimer: SetTimer;
    readonly logger: Logger;
    readonly getLimit: () => ExposureLimit;
}

/** State of a roll-out as shown to operators. */
export interface RolloutView {
    readonly service: string;
    readonly version: string;
    readonly state: RolloutStatus["state"] | "ordered";
    readonly step: RolloutStatus["step"];
    readonly reason: string;
    readonly ageMs: number;
    readonly durationMs: number;
    /** Undefined at a router that is not a decider of the roll-out. */
    readonly verdict: RolloutVerdict | undefined;
    /** Totals of the fleet at a router that has a verdict; this router's own counts elsewhere. */
    readonly routes: readonly RouteEvidence[];
}

/** An attempt that has ended. */
export interface ObservedAttempt {
    readonly target: Target;
    readonly route: string;
    readonly outcome: AttemptOutcome;
    readonly times: ResponseTimes;
    readonly sentAtMs: number;
}

/** Time after a target's start in which slow responses are not counted, since they don't depend on its version; milliseconds. */
const warmUpMs = 3_000;
const minServerErrorStatus = 500;
/** Period of the routers' reports and of the check whether a step is due; milliseconds. */
const reportPeriodMs = 250;

/** The roll-outs of all services: selects versions for requests, collects evidence on versions, and advances the steps. */
export class Rollouts implements VersionSource, Disposable {
    private readonly store = new DisposableStore();
    private readonly lifetime = this.store.add(new CancellationTokenSource());
    private readonly byService = new Map<string, ServiceRollout>();
    private readonly slowResponseDetectors = new LazyMap(() => new SlowResponseDetector());
    private readonly silentTargets = new SilentTargets();
    private readonly deciders = new Map<string, RolloutDecider>();
    private readonly incarnation: number;
    private timer: Disposable | undefined;

    public constructor(private readonly options: RolloutsOptions) {
        this.incarnation = options.clock.nowDate().getTime();
    }

    public get directory(): RolloutsOptions["directory"] {
        return this.options.directory;
    }

    public get random(): Random {
        return this.options.random;
    }

    /** Selects the versions that a request on the route may be sent to; `service` is its first destination. */
    public open(service: string | undefined, route: string): RequestVersions {
        return new RequestVersions(this, service, route);
    }

    /** Versions that a begun stream may be resumed at. */
    public openResumption(isStreamVersion: StreamVersionFilter): ResumptionVersions {
        return new ResumptionVersions(this, isStreamVersion);
    }

    /** Whether the target's version is established. Cached parts of a target whose version may be bad are not copied to others. */
    public isTrusted(target: Target): boolean {
        const rollout = this.byService.get(target.entry.service);
        return (
            rollout === undefined ||
            rollout.status?.state === "complete" ||
            rollout.findRole(target.entry.version) === "baseline"
        );
    }

    /** Records the outcome of an attempt as evidence on the versions and, for the reference of response durations, on the route. */
    public observe(attempt: ObservedAttempt): void {
        const result = describeOutcome(attempt.outcome);
        if (result === undefined) {
            return;
        }
        const { target, route, times, sentAtMs, outcome } = attempt;
        const isSilent = outcome.kind === "stopped" && outcome.reason === "silent";
        if (isSilent && !this.silentTargets.recordStop(target, this.options.clock.nowMs())) {
            return;
        }
        if (result === "ok") {
            this.silentTargets.recordResponse(target);
        }
        const rollout = this.byService.get(target.entry.service);
        const isCandidate = rollout?.isCandidate(target) === true && !rollout.hasEnded;
        const detector = this.slowResponseDetectors.getOrCreate(`${target.entry.service} ${route}`);
        const isWarm = sentAtMs >= Math.max(target.coldUntilMs, target.incarnationSeenAtMs + warmUpMs);
        const isSlow = isWarm && result !== "broken" ? detector.isSlow(times) : undefined;
        if (!isCandidate && result === "ok") {
            detector.observe(times);
        }
        rollout?.observe({ route, isCandidate, targetHash: target.idHash, result, isSlow });
        if (isCandidate) {
            rollout.observeDisconnect(attempt, result === "broken");
        }
    }

    public findRollout(service: string): ServiceRollout | undefined {
        return this.byService.get(service);
    }

    /** Applies the operators' order for a service; undefined if they withdrew it. */
    public applyOrder(service: string, order: RolloutOrder | undefined): void {
        const known = this.byService.get(service);
        if (order === undefined) {
            known?.withdraw();
            return;
        }
        if (known?.order.version === order.version && !known.isWithdrawn) {
            return;
        }
        const { peers, clock, logger, getLimit, records } = this.options;
        const { routerIds, unheard } = peers.routers;
        const isReissued = known?.order.version === order.version;
        const rejected = isReissued ? known.rejectedVersions : (known?.listRejectedForNext() ?? []);
        const rollout = new ServiceRollout(order, getLimit(), routerIds.length + unheard, rejected, clock);
        if (isReissued && known.status !== undefined) {
            rollout.applyStatus(known.status);
        }
        logger.write("info", "roll-out ordered", { ...order, rejected: rejected.join(" ") });
        this.byService.set(service, rollout);
        this.deciders.set(
            service,
            new RolloutDecider(rollout, { records, clock, logger, token: this.lifetime.token, source: this }),
        );
        this.startTimer();
    }

    /** Applies the stored status of a service's roll-out. */
    public applyStatus(status: RolloutStatus): void {
        this.byService.get(status.service)?.applyStatus(status);
    }

    /** After the store was restored from an older copy, writes roll-out outcomes again that the copy lacks. */
    public handleRewind(): void {
        this.deciders.forEach(decider => decider.handleRewind());
        this.startTimer();
    }

    /** Applies another router's report. */
    public applyMessage(senderId: string, message: RolloutMessage): void {
        const rollout = this.byService.get(message.service);
        if (rollout === undefined || rollout.order.version !== message.version) {
            return;
        }
        rollout.applyAge(message.ageMs);
        if (message.isBad) {
            rollout.recordBad();
        }
        this.deciders.get(message.service)?.applyMessage(senderId, message);
    }

    /** Slots of the candidate's open targets that are not cold, divided by the slots of the baseline's open targets. */
    public computeCapacityRatio(rollout: ServiceRollout): number {
        const nowMs = this.options.clock.nowMs();
        let candidate = 0;
        let baseline = 0;
        for (const target of this.options.directory.listOpen(rollout.order.service)) {
            const role = rollout.findRole(target.entry.version);
            candidate += role === "candidate" && target.coldUntilMs <= nowMs ? target.slots : 0;
            baseline += role === "baseline" ? target.slots : 0;
        }
        return baseline === 0 ? (candidate === 0 ? 0 : Number.POSITIVE_INFINITY) : candidate / baseline;
    }

    /** Number of this router's running requests at targets of other versions than the candidate. */
    public countBaselineRunning(rollout: ServiceRollout): number {
        return this.listTargets(rollout)
            .filter(target => rollout.findRole(target.entry.version) !== "candidate")
            .reduce((sum, target) => sum + target.ownRunning, 0);
    }

    /** All known targets of the roll-out's service. */
    public listTargets(rollout: ServiceRollout): readonly Target[] {
        return this.options.directory.listAll().filter(({ entry }) => entry.service === rollout.order.service);
    }

    public listAll(): readonly RolloutView[] {
        return [...this.byService.values()].map(rollout => {
            const { order, status, step, ageMs } = rollout;
            const decider = this.deciders.get(order.service);
            return {
                service: order.service,
                version: order.version,
                state: status?.state ?? "ordered",
                step,
                reason: status?.reason ?? "",
                ageMs: Math.round(ageMs),
                durationMs: order.durationMs,
                verdict: decider?.verdict,
                routes: decider?.routes ?? rollout.evidence.routes,
            };
        });
    }

    public dispose(): void {
        this.lifetime.cancel();
        this.timer?.dispose();
        this.store.dispose();
    }

    private startTimer(): void {
        this.timer ??= this.options.setTimer(reportPeriodMs, () => {
            this.timer = undefined;
            this.sendReports();
        });
    }

    private sendReports(): void {
        const routerIds = [this.options.ownId, ...this.options.peers.conditions.keys()];
        const { routers } = this.options.peers;
        let isActive = false;
        for (const [service, rollout] of this.byService) {
            const decider = this.deciders.get(service);
            if (decider !== undefined && decider.isActive && this.directory.findService(service) !== undefined) {
                isActive = true;
                const message = this.createMessage(rollout);
                const recipients = decider.chooseDeciders(routerIds, this.options.ownId);
                decider.applyMessage(this.options.ownId, message);
                for (const routerId of message.isBad ? routerIds : recipients) {
                    if (routerId !== this.options.ownId) {
                        this.options.transport.sendRollout(routerId, message);
                    }
                }
                decider.advance(routers);
            } else if (decider?.isActive === true) {
                isActive = true;
            }
        }
        if (isActive) {
            this.startTimer();
        }
    }

    private createMessage(rollout: ServiceRollout): RolloutMessage {
        return {
            incarnation: this.incarnation,
            service: rollout.order.service,
            version: rollout.order.version,
            ageMs: rollout.ageMs,
            step: rollout.step,
            baselineRunning: this.countBaselineRunning(rollout),
            isBad: rollout.isBad,
            evidence: rollout.evidence,
        };
    }
}

/** Result of an attempt as evidence on its target's version; undefined if it is no evidence. */
function describeOutcome(outcome: AttemptOutcome): VersionSample["result"] | undefined {
    switch (outcome.kind) {
        case "answered":
            return "ok";
        case "failed":
            return outcome.answer.status >= minServerErrorStatus ? "failed" : "ok";
        case "broken":
            return "broken";
        case "stopped":
            return outcome.reason === "silent" || outcome.reason === "deadline" ? "failed" : undefined;
        case "not-run":
            return undefined;
    }
}
