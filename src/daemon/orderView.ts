import type { OrderView } from "../agent/orderService.js";
import type { CommonParts } from "./commonParts.js";
import type { Membership } from "./membership.js";

/** What the document and the roster say about the engine of this agent; undefined before the first document. */
export function createOrderView(parts: CommonParts, membership: Membership, targetName: string): OrderView | undefined {
    const { documents, roster, settings } = parts;
    const document = documents.current?.document;
    const target = document?.targets[targetName];
    if (document === undefined || target === undefined) {
        return undefined;
    }
    const agents = [...roster.members.values()].filter(member => member.entry.role === "agent");
    const names = agents.map(member => member.entry.daemonId).sort();
    const registrations = agents
        .filter(member => member.entry.targetName === targetName)
        .map(member => member.registration);
    return {
        orders: target.orders ?? [],
        checksFencing: target.checksFencing,
        loadsPerMinute: document.limits.weightLoadsPerMinute,
        sharers: Math.max(1, names.length),
        place: Math.max(0, names.indexOf(settings.daemonId)) / Math.max(1, names.length),
        ownOffset: membership.current?.registration,
        newestOffset: registrations.length === 0 ? undefined : Math.max(...registrations),
    };
}
