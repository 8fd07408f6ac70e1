import { decode, encode } from "@msgpack/msgpack";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { LynxarchError } from "../../base/errors.js";
import type { AccountUse } from "../../decisions/shares/accountUse.js";

/** A message between routers can't be read. */
export class PeerMessageError extends LynxarchError {
    public readonly code = "peer-message-invalid";
}

/** A router and where it listens for peers. */
export interface PeerAddress {
    readonly routerId: string;
    readonly ip: string;
}

/** A part of a prompt that a target has begun to read. */
export interface PartRead {
    /** 32-bit hash of the target's id: four bytes in place of some fifteen. */
    readonly targetHash: number;
    readonly partId: string;
    readonly tokens: number;
}

/** What a router has under way at one target. */
export interface TargetLoad {
    /** 32-bit hash of the target's id. */
    readonly targetHash: number;
    readonly waitingTokens: number;
    readonly running: number;
    /** Tokens that the router's requests wrote into the target's memory since its last message. */
    readonly writtenTokens: number;
}

/** An incarnation of a target that is leaving, as the sender learnt from its answers, its record or a peer. */
export interface LeavingTarget {
    /** 32-bit hash of the target's id. */
    readonly targetHash: number;
    /** When the target started, by its own clock. */
    readonly startedAtMs: number;
}

/** How a router stands. */
export interface RouterCondition {
    readonly dataCentre: string;
    /** Part of a core that it may use. */
    readonly processorShare: number;
    /** Smoothed part of the time in which its event loop had something to do, 0 to 1. */
    readonly utilization: number;
    /** Whether it asks the balancer to leave it out. */
    readonly isWithdrawn: boolean;
}

/** The state that a router replicates to its peers, whole each time: the next message makes up for a lost one. */
export interface PeerMessage {
    readonly routerId: string;
    /** Larger for later starts of the same router. */
    readonly incarnation: number;
    /** Rises within an incarnation, so that a datagram that was overtaken is known as old. */
    readonly sequence: number;
    readonly ip: string;
    /** Time until the sender's next message; milliseconds. */
    readonly periodMs: number;
    readonly targets: readonly TargetLoad[];
    /** Time that the accounts' sums cover; milliseconds. */
    readonly coveredMs: number;
    readonly accounts: ReadonlyMap<string, AccountUse>;
    /** Since some messages ago, as a message may be lost. */
    readonly reads: readonly PartRead[];
    /** Some of the routers it knows. */
    readonly peers: readonly PeerAddress[];
    readonly leaving: readonly LeavingTarget[];
    readonly condition: RouterCondition;
}

const loadColumns = 4;
const accountColumns = 4;
const readColumns = 3;
const peerColumns = 2;
const leavingColumns = 2;
const conditionScale = 1_000;
const amount = z.number().min(0);
const rowFault = "not a whole number of rows";
/** Rows one behind the other; a list around each would only add bytes. */
const wireSchema = z.tuple([
    z.string().min(1),
    z.number(),
    z.number(),
    z.string().min(1),
    amount,
    z.array(amount).refine(values => values.length % loadColumns === 0, rowFault),
    amount,
    z.array(z.union([z.string(), amount])).refine(values => values.length % accountColumns === 0, rowFault),
    z.array(z.union([z.string(), amount])).refine(values => values.length % readColumns === 0, rowFault),
    z.array(z.string()).refine(values => values.length % peerColumns === 0, rowFault),
    z.array(z.number()).refine(values => values.length % leavingColumns === 0, rowFault),
    z.tuple([z.string(), amount, amount, z.boolean()]),
]);

/**
 * A message in MessagePack (https://msgpack.org): bytes decide how often a round can be sent.
 */
export function encodePeerMessage(message: PeerMessage): Uint8Array {
    const wire: z.input<typeof wireSchema> = [
        message.routerId,
        message.incarnation,
        message.sequence,
        message.ip,
        Math.round(message.periodMs),
        message.targets.flatMap(load => [
            load.targetHash,
            Math.round(load.waitingTokens),
            load.running,
            Math.round(load.writtenTokens),
        ]),
        Math.round(message.coveredMs),
        [...message.accounts].flatMap(([name, use]) => [
            name,
            Math.round(use.asked),
            Math.round(use.served),
            Math.round(use.recentlyServed),
        ]),
        message.reads.flatMap(read => [read.targetHash, read.partId, read.tokens]),
        message.peers.flatMap(peer => [peer.routerId, peer.ip]),
        message.leaving.flatMap(({ targetHash, startedAtMs }) => [targetHash, startedAtMs]),
        encodeCondition(message.condition),
    ];
    return encode(wire);
}

/** Reads a message. Errors: no MessagePack, or of another form. */
export function decodePeerMessage(data: Uint8Array): Result<PeerMessage, PeerMessageError> {
    let value: unknown;
    try {
        value = decode(data);
    } catch (cause) {
        return err(new PeerMessageError("no MessagePack", cause));
    }
    const parsed = wireSchema.safeParse(value);
    if (!parsed.success) {
        return err(new PeerMessageError("of an unknown form", parsed.error));
    }
    const [
        routerId,
        incarnation,
        sequence,
        ip,
        periodMs,
        targets,
        coveredMs,
        accounts,
        reads,
        peers,
        leaving,
        condition,
    ] = parsed.data;
    const [dataCentre, processorShare, utilization, isWithdrawn] = condition;
    return ok({
        routerId,
        incarnation,
        sequence,
        ip,
        periodMs,
        targets: decodeRows(targets, loadColumns).map(([targetHash, waitingTokens, running, writtenTokens]) => ({
            targetHash,
            waitingTokens,
            running,
            writtenTokens,
        })),
        coveredMs,
        accounts: new Map(
            decodeRows(accounts, accountColumns).map(([name, asked, served, recentlyServed]) => [
                String(name),
                { asked: Number(asked), served: Number(served), recentlyServed: Number(recentlyServed) },
            ]),
        ),
        reads: decodeRows(reads, readColumns).map(([targetHash, partId, tokens]) => ({
            targetHash: Number(targetHash),
            partId: String(partId),
            tokens: Number(tokens),
        })),
        peers: decodeRows(peers, peerColumns).map(([peerId, peerIp]) => ({ routerId: peerId, ip: peerIp })),
        leaving: decodeRows(leaving, leavingColumns).map(([targetHash, startedAtMs]) => ({ targetHash, startedAtMs })),
        condition: {
            dataCentre,
            processorShare: processorShare / conditionScale,
            utilization: utilization / conditionScale,
            isWithdrawn,
        },
    });
}

/** Fractions as whole numbers, which take fewer bytes. */
function encodeCondition(condition: RouterCondition): [string, number, number, boolean] {
    const { dataCentre, processorShare, utilization, isWithdrawn } = condition;
    const scaled = [processorShare, utilization].map(value => Math.round(value * conditionScale));
    return [dataCentre, scaled[0], scaled[1], isWithdrawn];
}

function decodeRows<T>(values: readonly T[], columns: number): readonly (readonly T[])[] {
    return Array.from({ length: values.length / columns }, (...[, row]) =>
        values.slice(row * columns, (row + 1) * columns),
    );
}
