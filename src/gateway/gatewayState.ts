import { otherAccountsLabel, type AccountStatistics } from "./accountStatistics.js";
import type { AccountSnapshot } from "./accountMetrics.js";
import type { ConnectionSharing } from "./connectionSharing.js";
import { computeShareUsage } from "./computeShareUsage.js";
import type { GatewayStatistics } from "./gatewayMetrics.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { FleetSource } from "./fleetSource.js";
import type { GatewayService } from "./gatewayService.js";
import type { LoadSource } from "./loadMonitor.js";
import type { RouterCondition } from "./peers/peerMessage.js";
import type { GatewaySettings } from "./settings.js";
import type { Rollouts } from "./rollouts/rollouts.js";
import type { Target } from "./target.js";

/** How a target stands in this router's eyes. */
export type TargetCondition = "ready" | "cold" | "draining" | "removed" | "paused" | "out";

/** The condition that decides whether a target gets requests; the most restrictive one that holds. */
export function describeCondition(target: Target, dataCentresOut: readonly string[], nowMs: number): TargetCondition {
    if (target.availability.leaving !== undefined) {
        return "draining";
    }
    if (target.removal !== undefined) {
        return "removed";
    }
    if (dataCentresOut.includes(target.dataCentre)) {
        return "out";
    }
    if (!target.circuit.canStart(nowMs) || target.availability.pause.computeRemainingMs(nowMs) > 0) {
        return "paused";
    }
    return target.coldUntilMs > nowMs ? "cold" : "ready";
}

/** Figures for the metrics page. */
export function buildStatistics(
    context: GatewayContext,
    source: FleetSource,
    { openRequests, accounts }: Pick<GatewayService, "openRequests" | "accounts">,
    rollouts: Pick<Rollouts, "listAll">,
    { shared }: Pick<ConnectionSharing, "shared">,
): GatewayStatistics {
    const { shedShare, loop } = context.load;
    const nowMs = context.clock.nowMs();
    const { health } = source;
    const out = context.directory.listDataCentresOut();
    const counts = new Map<string, { service: string; state: string; count: number }>();
    for (const target of context.directory.listAll()) {
        const { service } = target.entry;
        const state = describeCondition(target, out, nowMs);
        const known = counts.get(`${service} ${state}`) ?? { service, state, count: 0 };
        counts.set(`${service} ${state}`, { ...known, count: known.count + 1 });
    }
    return {
        openRequests,
        configurationVersion: context.configuration.current?.version ?? 0,
        isPlatformConnected: health.isConnected,
        targetsViewAgeMs:
            health.targets.coveredUntilMs === undefined ? undefined : nowMs - health.targets.coveredUntilMs,
        storeReads: health.reads,
        peers: context.peers.routers.routerIds.length - 1,
        peerRound: context.peers.round,
        heldRequests: context.quarantine.listHeld().length,
        targets: [...counts.values()],
        rollouts: rollouts.listAll(),
        sharedConnections: shared,
        load: { shedShare, loop },
        listAccounts: () => listAccounts(context, accounts),
    };
}

/** What became of each account's requests here, and how the account stands in this router's books. */
export function listAccounts(context: GatewayContext, figures: AccountStatistics): readonly AccountSnapshot[] {
    return figures.listAll().map(([account, counts]) => ({
        account,
        counts,
        computeUsage: () => (account === otherAccountsLabel ? undefined : computeShareUsage(context, account)),
    }));
}

/** What the router reports of itself to its peers. */
export function describeRouter(
    { dataCentre, limits }: Pick<GatewaySettings, "dataCentre" | "limits">,
    { shouldLeaveBalancer, loop }: Pick<LoadSource, "shouldLeaveBalancer" | "loop">,
    isStopping: boolean,
    configurationVersion: number | undefined,
): RouterCondition {
    const { processorShare } = limits;
    return {
        dataCentre,
        processorShare,
        utilization: loop.utilization,
        isWithdrawn: shouldLeaveBalancer || isStopping,
        configurationVersion,
    };
}

/** What the router believes, for people. */
export function describeState(context: GatewayContext, source: FleetSource): object {
    const nowMs = context.clock.nowMs();
    const out = context.directory.listDataCentresOut();
    return {
        configurationVersion: context.configuration.current?.version,
        platform: source.health,
        peers: context.peers.routers,
        conditions: Object.fromEntries(context.peers.conditions),
        peerRound: context.peers.round,
        accountSource: context.peers.accountSource,
        dataCentresOut: out,
        heldRequests: context.quarantine.listHeld(),
        accounts: Object.fromEntries(context.shares.listOwnAccounts(nowMs).accounts),
        targets: context.directory.listAll().map(target => ({
            id: target.id,
            service: target.entry.service,
            address: target.entry.address,
            dataCentre: target.dataCentre,
            condition: describeCondition(target, out, nowMs),
            leaving: describeLeaving(target, nowMs),
            recordRemovedForMs: target.removal === undefined ? undefined : nowMs - target.removal.atMs,
            pauseMs: target.availability.pause.computeRemainingMs(nowMs),
            ownRunning: target.ownRunning,
            running: target.running,
            waitingTokens: target.waitingTokens,
        })),
    };
}

/** Where it was learnt that a target is leaving, and how long ago. */
function describeLeaving({ availability }: Target, nowMs: number): object | undefined {
    const { leaving } = availability;
    return leaving === undefined ? undefined : { source: leaving.source, ageMs: nowMs - leaving.atMs };
}
