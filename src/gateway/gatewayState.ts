import type { ClientConnectionGuard } from "../http/clientConnectionGuard.js";
import { otherAccountsLabel, type AccountStatistics } from "./accountStatistics.js";
import type { AccountSnapshot } from "./accountMetrics.js";
import type { CallerServer } from "./callerServer.js";
import type { ConnectionSharing } from "./connectionSharing.js";
import { computeShareUsage } from "./computeShareUsage.js";
import type { GatewayStatistics, TargetSpeed } from "./gatewayMetrics.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { FleetSource } from "./fleetSource.js";
import type { GatewayService } from "./gatewayService.js";
import type { LoadSource } from "./loadMonitor.js";
import type { RouterCondition } from "./peers/peerMessage.js";
import type { GatewaySettings } from "./settings.js";
import type { Rollouts } from "./rollouts/rollouts.js";
import type { Target } from "./target.js";

/** State of a target as seen by this router. */
export type TargetCondition = "ready" | "cold" | "draining" | "removed" | "paused" | "out";

/** Returns the most restrictive condition that applies to the target. */
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

/** Collects the current values for the metrics page. */
export function buildStatistics(
    context: GatewayContext,
    source: FleetSource,
    {
        openRequests,
        accounts,
        refusedEarly,
        unsent,
        withdrawal,
    }: Pick<GatewayService, "openRequests" | "accounts" | "refusedEarly" | "unsent" | "withdrawal">,
    rollouts: Pick<Rollouts, "listAll">,
    { shared }: Pick<ConnectionSharing, "shared">,
    { closedIdleConnections }: Pick<CallerServer, "closedIdleConnections">,
    { statistics: clientConnections }: Pick<ClientConnectionGuard, "statistics">,
): GatewayStatistics {
    const { shedShare, loop } = context.load;
    const nowMs = context.clock.nowMs();
    const { health } = source;
    const out = context.directory.listDataCentresOut();
    const counts = new Map<string, { service: string; state: string; count: number }>();
    for (const target of context.directory.listAll()) {
        const { service } = target.entry;
        const state = describeCondition(target, out, nowMs);
        const existing = counts.get(`${service} ${state}`) ?? { service, state, count: 0 };
        counts.set(`${service} ${state}`, { ...existing, count: existing.count + 1 });
    }
    return {
        openRequests,
        refusedEarly,
        withdrawal,
        closedIdleConnections,
        clientConnections,
        configurationVersion: context.configuration.current?.version ?? 0,
        isPlatformConnected: health.isConnected,
        targetsViewAgeMs: computeTargetsViewAgeMs(context, source),
        storeReads: health.reads,
        peers: context.peers.routers.routerIds.length - 1,
        peerRound: context.peers.round,
        peerTraffic: context.peers.traffic.counts,
        heldRequests: context.quarantine.listHeld().length,
        heldParts: context.quarantine.parts.listHeld().length,
        targets: [...counts.values()],
        targetSpeeds: listSpeeds(context),
        rollouts: rollouts.listAll(),
        sharedConnections: shared,
        unsent: unsent.statistics,
        load: { shedShare, loop },
        spareCapacity: context.grants.computeSpareCapacity(),
        listAccounts: () => listAccounts(context, accounts),
    };
}

/** Speeds of the targets of services whose targets report them. */
function listSpeeds({ directory, clock }: GatewayContext): readonly TargetSpeed[] {
    const nowMs = clock.nowMs();
    return directory
        .listAll()
        .filter(({ entry }) => directory.hasSpeedReports(entry.service))
        .map(({ id, entry, speed }) => ({
            service: entry.service,
            target: id,
            slowdown: speed.slowdown,
            speedFactor: speed.estimate(nowMs).factor,
        }));
}

/** Age of the last read that covers all targets' records; undefined before the first read. Milliseconds. */
export function computeTargetsViewAgeMs(
    { clock }: Pick<GatewayContext, "clock">,
    { health }: Pick<FleetSource, "health">,
): number | undefined {
    const { coveredUntilMs } = health.targets;
    return coveredUntilMs === undefined ? undefined : clock.nowMs() - coveredUntilMs;
}

/** Counts of each account's requests on this router, and the account's usage of its share. */
export function listAccounts(context: GatewayContext, statistics: AccountStatistics): readonly AccountSnapshot[] {
    return statistics.listAll().map(([account, counts]) => ({
        account,
        counts,
        computeUsage: () => (account === otherAccountsLabel ? undefined : computeShareUsage(context, account)),
    }));
}

/** The state that the router reports to its peers. */
export function describeRouter(
    { dataCentre, limits }: Pick<GatewaySettings, "dataCentre" | "limits">,
    { loop }: Pick<LoadSource, "loop">,
    isWithdrawn: boolean,
    configurationVersion: number | undefined,
): RouterCondition {
    const { processorShare } = limits;
    return {
        dataCentre,
        processorShare,
        utilization: loop.utilization,
        isWithdrawn,
        configurationVersion,
    };
}

/** The router's local state, for diagnostics by operators. */
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
        heldParts: context.quarantine.parts.listHeld(),
        accounts: Object.fromEntries(context.shares.listOwnAccounts(nowMs).accounts),
        targets: context.directory.listAll().map(target => ({
            id: target.id,
            service: target.entry.service,
            version: target.entry.version,
            address: target.entry.address,
            dataCentre: target.dataCentre,
            condition: describeCondition(target, out, nowMs),
            leaving: describeLeaving(target, nowMs),
            recordRemovedForMs: target.removal === undefined ? undefined : nowMs - target.removal.atMs,
            pauseMs: target.availability.pause.computeRemainingMs(nowMs),
            ownRunning: target.ownRunning,
            running: target.running,
            waitingTokens: target.waitingTokens,
            slowdown: target.speed.slowdown,
            speedFactor: target.speed.estimate(nowMs).factor,
        })),
    };
}

/** Where the first signal that the target is leaving came from, and how long ago. */
function describeLeaving({ availability }: Target, nowMs: number): object | undefined {
    const { leaving } = availability;
    return leaving === undefined ? undefined : { source: leaving.source, ageMs: nowMs - leaving.atMs };
}
