/**
 * Decides which small routers leave their callers to larger routers of their data centre before they saturate.
 *
 * Load pattern: the balancer spreads callers evenly over routers of unequal size, and notices a withdrawal only two to three seconds later. A
 * burst then fills the accept queues of the small routers while the large ones have spare processor time. Small routers therefore have to be
 * out of the balancer before the burst. But operators require that routers are ready: not more than an eighth of the router-seconds of calm
 * periods may be without readiness.
 *
 * So there are two levels. Early withdrawal is limited to the readiness reserve, a ninth of the fleet, which counts every withdrawn router. It
 * goes to the routers that need it most. Beyond the reserve a small router leaves only while an even share of the work exceeds its capacity.
 * All routers select alike from the conditions that they report to each other, without a further message.
 */
import { compareRouters } from "./balancerWithdrawal.js";
import type { RouterLoad } from "./requestReturn.js";

/** A router of the fleet, as it has reported itself. */
export interface FleetRouter extends RouterLoad {
    readonly routerId: string;
    readonly dataCentre: string;
    /** Whether the router has left the balancer, for whatever reason. */
    readonly isWithdrawn: boolean;
}

/** Level at which a small router leaves: within the readiness reserve, or because an even share exceeds its capacity. */
export type WithdrawalLevel = "reserve" | "beyond-reserve";

/** Routers per place in the reserve. Below an eighth, so that single withdrawals because of overload fit beside it. */
const routersPerPlace = 9;
/** At most one router in so many of a data centre withdraws; the balancer ignores readiness beyond that. */
const routersPerWithdrawal = 2;
/** Ratio of a larger router's processor share to the own one from which it takes the callers of the smaller one. */
const largerRatio = 1.5;
/** Utilization by an even share of the data centre's work from which a small router may withdraw: a burst of three times that saturates it. */
const earlyThreshold = 1 / 3;
/** The same below which it returns; two thirds of the other, as for {@link exceededReturnThreshold}. */
const earlyReturnThreshold = 2 / 9;
/** Utilization by an even share from which it exceeds the router's capacity. */
const exceededThreshold = 0.9;
/** The same below which a router beyond the reserve returns. */
const exceededReturnThreshold = 0.6;
/** Utilization of a larger router up to which it has spare processor time for early withdrawals. */
const maxLargerUtilization = 0.6;
/** Factor by which another router's need must exceed that of a withdrawn one to take its place. */
const keepRatio = 1.25;
/**
 * Time constant over which the work of a data centre is averaged for the reserve; milliseconds. With the momentary work, data centres with about
 * the same need took turns in a fleet of 108 routers, and more routers than the reserve has places were withdrawn.
 */
const averagingMs = 2_000;
/** Minimum time in a level: about the time after which the balancer acts on a withdrawal; milliseconds. */
const minWithdrawalMs = 3_000;

/** A router and how much it needs to leave its callers to larger ones. */
interface RouterNeed {
    readonly router: FleetRouter;
    /** Utilization of the router by an even share of its data centre's work. */
    readonly evenUtilization: number;
    /** Lowest utilization of the larger routers in the balancer; undefined without any. */
    readonly largerUtilization: number | undefined;
    /** Whether the router's place among those of its data centre, the smallest first, is in the half that may withdraw. */
    readonly isInSmallerHalf: boolean;
}

/** Even share of each data centre's work; cores. */
type EvenWork = ReadonlyMap<string, number>;

/** Ids of the routers that hold or may take a place in the readiness reserve. `routers`: the whole fleet as far as it is known. */
export function selectReserve(
    routers: readonly FleetRouter[],
    evenWork: EvenWork = computeEvenWork(routers),
): ReadonlySet<string> {
    const candidates = computeNeeds(routers, evenWork).filter(isCandidate).sort(compareNeeds);
    const candidateIds = new Set(candidates.map(({ router }) => router.routerId));
    const free = new Map<string, number>();
    for (const [dataCentre, members] of buildDataCentres(routers)) {
        free.set(dataCentre, Math.floor(members.length / routersPerWithdrawal));
    }
    let places = countPlaces(routers);
    for (const { dataCentre } of routers.filter(
        ({ routerId, isWithdrawn }) => isWithdrawn && !candidateIds.has(routerId),
    )) {
        places -= 1;
        free.set(dataCentre, (free.get(dataCentre) ?? 0) - 1);
    }
    const selected = new Set<string>();
    for (const { router } of candidates) {
        const left = free.get(router.dataCentre) ?? 0;
        if (selected.size < places && left > 0) {
            selected.add(router.routerId);
            free.set(router.dataCentre, left - 1);
        }
    }
    return selected;
}

/** The decision of one router. */
export class ReadinessReserve {
    private level: WithdrawalLevel | undefined;
    private leftAtMs = Number.NEGATIVE_INFINITY;
    private exceededAtMs = Number.NEGATIVE_INFINITY;
    private lastEvenUtilization = 0;
    private averageWork: EvenWork = new Map();
    private averagedAtMs = 0;

    /** Utilization of the router by an even share of its data centre's work, at the last update. */
    public get evenUtilization(): number {
        return this.lastEvenUtilization;
    }

    /** Level at which the router should be withdrawn. `routers`: the fleet with this router, as far as conditions are recent. */
    public update(ownId: string, routers: readonly FleetRouter[], nowMs: number): WithdrawalLevel | undefined {
        const dataCentre = routers.find(({ routerId }) => routerId === ownId)?.dataCentre;
        const neighbours = routers.filter(router => router.dataCentre === dataCentre);
        const work = computeEvenWork(routers);
        this.updateAverages(work, nowMs);
        const own = computeNeeds(neighbours, work).find(({ router }) => router.routerId === ownId);
        this.lastEvenUtilization = own?.evenUtilization ?? 0;
        if (own?.largerUtilization === undefined) {
            this.level = undefined;
            return undefined;
        }
        const next = this.chooseLevel(own, own.largerUtilization, routers, nowMs);
        if (this.level === undefined && next !== undefined) {
            this.leftAtMs = nowMs;
        }
        if (next !== undefined || nowMs - this.leftAtMs >= minWithdrawalMs) {
            this.level = next;
        }
        return this.level;
    }

    private updateAverages(work: EvenWork, nowMs: number): void {
        const weight = 1 - Math.exp((this.averagedAtMs - nowMs) / averagingMs);
        this.averagedAtMs = nowMs;
        const averages = [...work].map(([dataCentre, value]): [string, number] => {
            const previous = this.averageWork.get(dataCentre) ?? value;
            return [dataCentre, previous + (value - previous) * weight];
        });
        this.averageWork = new Map(averages);
    }

    private chooseLevel(
        own: RouterNeed,
        largerUtilization: number,
        routers: readonly FleetRouter[],
        nowMs: number,
    ): WithdrawalLevel | undefined {
        const { router, evenUtilization } = own;
        const withdrawnOthers = routers.filter(other => other.isWithdrawn && other !== router).length;
        const hasPlace = this.level === "reserve" || withdrawnOthers < countPlaces(routers);
        const isSelected = hasPlace && selectReserve(routers, this.averageWork).has(router.routerId);
        const isLargerAvailable = this.level !== undefined || largerUtilization < exceededThreshold;
        if (evenUtilization >= exceededThreshold && own.isInSmallerHalf && isLargerAvailable) {
            this.exceededAtMs = nowMs;
        }
        if (isSelected) {
            return "reserve";
        }
        const wasExceeded = nowMs - this.exceededAtMs < minWithdrawalMs;
        const threshold = this.level === undefined ? exceededThreshold : exceededReturnThreshold;
        return wasExceeded && evenUtilization >= threshold ? "beyond-reserve" : undefined;
    }
}

function countPlaces(routers: readonly FleetRouter[]): number {
    return Math.floor(routers.length / routersPerPlace);
}

function isCandidate({ router, evenUtilization, largerUtilization }: RouterNeed): boolean {
    if (largerUtilization === undefined) {
        return false;
    }
    // Withdrawn routers raise the utilization of the larger ones, which therefore is no reason to return: their own would exceed 1.
    return router.isWithdrawn
        ? evenUtilization >= earlyReturnThreshold
        : evenUtilization >= earlyThreshold && largerUtilization < maxLargerUtilization;
}

/** The highest need first; in a data centre that is the smallest router. */
function compareNeeds(first: RouterNeed, second: RouterNeed): number {
    return computeRank(second) - computeRank(first) || compareRouters(first.router, second.router);
}

function computeRank({ router, evenUtilization }: RouterNeed): number {
    return router.isWithdrawn ? evenUtilization * keepRatio : evenUtilization;
}

function computeEvenWork(routers: readonly FleetRouter[]): EvenWork {
    const members = [...buildDataCentres(routers)];
    return new Map(
        members.map(([dataCentre, own]) => [
            dataCentre,
            own.reduce((sum, router) => sum + router.utilization * router.processorShare, 0) / own.length,
        ]),
    );
}

function computeNeeds(routers: readonly FleetRouter[], evenWork: EvenWork): readonly RouterNeed[] {
    return [...buildDataCentres(routers)].flatMap(([dataCentre, members]) => {
        const ordered = [...members].sort(compareRouters);
        const smallerHalf = Math.floor(ordered.length / routersPerWithdrawal);
        return ordered.map((router, index) => ({
            router,
            evenUtilization: (evenWork.get(dataCentre) ?? 0) / router.processorShare,
            largerUtilization: findLargerUtilization(router, ordered),
            isInSmallerHalf: index < smallerHalf,
        }));
    });
}

function findLargerUtilization(own: FleetRouter, members: readonly FleetRouter[]): number | undefined {
    const least = own.processorShare * largerRatio;
    let lowest: number | undefined;
    for (const { processorShare, isWithdrawn, utilization } of members) {
        if (!isWithdrawn && processorShare >= least && (lowest === undefined || utilization < lowest)) {
            lowest = utilization;
        }
    }
    return lowest;
}

function buildDataCentres(routers: readonly FleetRouter[]): ReadonlyMap<string, readonly FleetRouter[]> {
    const dataCentres = new Map<string, FleetRouter[]>();
    for (const router of routers) {
        const members = dataCentres.get(router.dataCentre);
        if (members === undefined) {
            dataCentres.set(router.dataCentre, [router]);
        } else {
            members.push(router);
        }
    }
    return dataCentres;
}
