/**
 * Selects the routers that forward a router's message within other data centres, for each round of messages.
 *
 * Answers the load of routers' own messages: sent to each router directly, most of them cross data centres. Relaying moves messages from
 * their origins to relays, and the number of messages that routers send together stays the same. Each router therefore spreads its rounds over the
 * relays of a data centre by processor share, and sends only as many of its rounds by relays as these can forward within their own
 * budget of bytes; the other rounds are sent directly.
 */
import { hashFast, mixHashes } from "../../base/hash.js";

/** A router that receives messages, and perhaps forwards them. */
export interface RelayCandidate {
    readonly routerId: string;
    readonly dataCentre: string;
    /** Fraction of a core that the router may use. */
    readonly processorShare: number;
    /** Smoothed fraction of the time in which the router's event loop was busy, 0 to 1. */
    readonly utilization: number;
    /** Whether the router has requested its removal from the load balancer. */
    readonly isWithdrawn: boolean;
    /** Whether the router has reported that it forwards messages. */
    readonly canRelay: boolean;
}

/** The router whose message is sent, and the round. */
export interface RoundOrigin extends RelayCandidate {
    /** Increases by one with each round. */
    readonly sequence: number;
    /** Messages that a router may send in the time between two rounds. */
    readonly messageBudget: number;
}

/** Recipients of one round that are not sent to directly. */
export interface RoundPlan {
    /** Routers that are sent the message for their data centre; at most one of each. */
    readonly relayIds: readonly string[];
    /** Routers that receive the message from a relay, and the relays. */
    readonly coveredIds: ReadonlySet<string>;
}

/** Below this number of routers in a data centre, a relay would save too little to depend on it. */
const minRelayedRouters = 3;
/** Utilization from which a router does not relay: it handles messages late, and forwarding takes processor time from callers. */
const overloadedUtilization = 0.9;
/** Maximum fraction of an origin's rounds that use the same relay, as they are lost while a stopped relay is not known to have stopped. */
const maxRelayFraction = 1 / 3;
const hashRange = 2 ** 32;
/**
 * Step of the low-discrepancy sequence that spreads rounds over relays (additive recurrence with the golden ratio). A relay with less
 * than 0.38 of the shares is not used in two consecutive rounds.
 */
const goldenStep = (Math.sqrt(5) - 1) / 2;

/** The routers of a data centre. */
interface Group {
    readonly routers: readonly RelayCandidate[];
    /** Routers that receive messages from relays; none where messages are not relayed. */
    readonly members: readonly RelayCandidate[];
    readonly relays: readonly RelayCandidate[];
}

/** Plans one round. `routers`: the other routers with a recent message. */
export function createRoundPlan(origin: RoundOrigin, routers: readonly RelayCandidate[]): RoundPlan {
    const groups = createGroups([origin, ...routers]);
    const relayIds: string[] = [];
    const coveredIds = new Set<string>();
    for (const [dataCentre, group] of groups) {
        if (dataCentre === origin.dataCentre || group.members.length === 0) {
            continue;
        }
        const draw = mixHashes(mixHashes(hashFast(origin.routerId), hashFast(dataCentre)), origin.sequence) / hashRange;
        if (draw < computeRelayedFraction(origin, group, groups)) {
            relayIds.push(chooseRelay(origin, group.relays).routerId);
            group.members.forEach(({ routerId }) => coveredIds.add(routerId));
        }
    }
    return { relayIds, coveredIds };
}

function createGroups(routers: readonly RelayCandidate[]): ReadonlyMap<string, Group> {
    const byDataCentre = new Map<string, RelayCandidate[]>();
    for (const router of routers) {
        const group = byDataCentre.get(router.dataCentre) ?? [];
        group.push(router);
        byDataCentre.set(router.dataCentre, group);
    }
    return new Map([...byDataCentre].map(([dataCentre, group]) => [dataCentre, createGroup(group)]));
}

function createGroup(routers: readonly RelayCandidate[]): Group {
    const capable = routers.filter(router => router.canRelay);
    const relays = capable.filter(
        ({ isWithdrawn, utilization }) => !isWithdrawn && utilization < overloadedUtilization,
    );
    const isRelayed = capable.length >= minRelayedRouters && relays.length > 0;
    return { routers, members: isRelayed ? capable : [], relays: isRelayed ? relays : [] };
}

/** The relay of the round. Over many rounds, relays are chosen in proportion to their processor shares. */
function chooseRelay({ routerId, sequence }: RoundOrigin, relays: readonly RelayCandidate[]): RelayCandidate {
    const position = (hashFast(routerId) / hashRange + sequence * goldenStep) % 1;
    let remaining = position * computeShareSum(relays);
    const chosen = relays.find(({ processorShare }) => (remaining -= processorShare) < 0);
    return chosen ?? relays[relays.length - 1];
}

/**
 * Fraction of the origin's rounds to send by the relays of a data centre: what these can forward without sending more than their budget, after
 * the messages of their own rounds. Messages of larger routers come first, as these forward more themselves and have less budget left.
 */
function computeRelayedFraction(origin: RoundOrigin, group: Group, groups: ReadonlyMap<string, Group>): number {
    const others = [...groups.values()].filter(other => other !== group);
    const ownRound =
        group.routers.length -
        1 +
        computeSum(others, ({ routers, members }) => routers.length - members.length + Math.min(1, members.length));
    const largestPart = Math.max(...group.relays.map(router => router.processorShare)) / computeShareSum(group.relays);
    const relayable = (origin.messageBudget - ownRound) / ((group.members.length - 1) * largestPart);
    const shares = others.flatMap(({ routers }) => routers.map(router => router.processorShare));
    const larger = shares.filter(share => share > origin.processorShare).length;
    const equal = shares.filter(share => share === origin.processorShare).length;
    return Math.min((relayable - larger) / equal, maxRelayFraction / largestPart);
}

function computeShareSum(routers: readonly RelayCandidate[]): number {
    return computeSum(routers, router => router.processorShare);
}

function computeSum<T>(values: readonly T[], select: (value: T) => number): number {
    return values.reduce((sum, value) => sum + select(value), 0);
}
