import { Decoder, encode } from "@msgpack/msgpack";
import { err, ok, type Result } from "neverthrow";
import { LynxarchError } from "../../base/errors.js";
import type { AccountUsage } from "../../decisions/shares/accountUsage.js";
import { isNonNegativeNumber, isFiniteNumber, isNonEmptyString } from "../wireValues.js";

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
export interface PartPrefill {
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
    /** Version of the configuration in force; undefined while the platform is not reached, or there is none. */
    readonly configurationVersion?: number | undefined;
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
    readonly accounts: ReadonlyMap<string, AccountUsage>;
    /** Since some messages ago, as a message may be lost. */
    readonly reads: readonly PartPrefill[];
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
const wireLength = 12;
const conditionLength = 5;
/** Versions are sent as the next number; 0 stands for none. */
const noVersion = 0;
const decoder = new Decoder();

/** Rows one behind the other; a list around each would only add bytes. */
type Wire = [
    routerId: string,
    incarnation: number,
    sequence: number,
    ip: string,
    periodMs: number,
    targets: number[],
    coveredMs: number,
    accounts: (string | number)[],
    reads: (string | number)[],
    peers: string[],
    leaving: number[],
    condition: [
        dataCentre: string,
        processorShare: number,
        utilization: number,
        isWithdrawn: boolean,
        configurationVersion: number,
    ],
];

/**
 * A message in MessagePack (https://msgpack.org): bytes decide how often a round can be sent.
 */
export function encodePeerMessage(message: PeerMessage): Uint8Array {
    const wire: Wire = [
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
        value = decoder.decode(data);
    } catch (cause) {
        return err(new PeerMessageError("no MessagePack", cause));
    }
    const message = Array.isArray(value) && value.length === wireLength ? decodeWire(value) : undefined;
    return message === undefined ? err(new PeerMessageError("of an unknown form")) : ok(message);
}

/** Each peer's every message comes through here: checked by hand, it takes a fraction of a schema's time. */
function decodeWire(wire: readonly unknown[]): PeerMessage | undefined {
    const [routerId, incarnation, sequence, ip, periodMs] = wire;
    const coveredMs = wire[6];
    if (
        !isNonEmptyString(routerId) ||
        !isFiniteNumber(incarnation) ||
        !isFiniteNumber(sequence) ||
        !isNonEmptyString(ip)
    ) {
        return undefined;
    }
    if (!isNonNegativeNumber(periodMs) || !isNonNegativeNumber(coveredMs)) {
        return undefined;
    }
    const targets = decodeRows(wire[5], loadColumns, decodeLoad);
    const accounts = decodeRows(wire[7], accountColumns, decodeAccount);
    const reads = decodeRows(wire[8], readColumns, decodeRead);
    const peers = decodeRows(wire[9], peerColumns, decodePeer);
    const leaving = decodeRows(wire[10], leavingColumns, decodeLeaving);
    const condition = decodeCondition(wire[11]);
    if (targets === undefined || accounts === undefined || reads === undefined) {
        return undefined;
    }
    if (peers === undefined || leaving === undefined || condition === undefined) {
        return undefined;
    }
    return {
        routerId,
        incarnation,
        sequence,
        ip,
        periodMs,
        targets,
        coveredMs,
        accounts: new Map(accounts),
        reads,
        peers,
        leaving,
        condition,
    };
}

/** Undefined where `value` is not a whole number of rows, or one of them is of another form. */
function decodeRows<T>(
    value: unknown,
    columns: number,
    decodeRow: (cells: readonly unknown[], from: number) => T | undefined,
): readonly T[] | undefined {
    if (!Array.isArray(value) || value.length % columns !== 0) {
        return undefined;
    }
    const rows: T[] = [];
    for (let from = 0; from < value.length; from += columns) {
        const row = decodeRow(value, from);
        if (row === undefined) {
            return undefined;
        }
        rows.push(row);
    }
    return rows;
}

function decodeLoad(cells: readonly unknown[], from: number): TargetLoad | undefined {
    const targetHash = cells[from];
    const waitingTokens = cells[from + 1];
    const running = cells[from + 2];
    const writtenTokens = cells[from + 3];
    return isNonNegativeNumber(targetHash) &&
        isNonNegativeNumber(waitingTokens) &&
        isNonNegativeNumber(running) &&
        isNonNegativeNumber(writtenTokens)
        ? { targetHash, waitingTokens, running, writtenTokens }
        : undefined;
}

function decodeAccount(cells: readonly unknown[], from: number): [string, AccountUsage] | undefined {
    const name = cells[from];
    const asked = cells[from + 1];
    const served = cells[from + 2];
    const recentlyServed = cells[from + 3];
    return typeof name === "string" &&
        isNonNegativeNumber(asked) &&
        isNonNegativeNumber(served) &&
        isNonNegativeNumber(recentlyServed)
        ? [name, { asked, served, recentlyServed }]
        : undefined;
}

function decodeRead(cells: readonly unknown[], from: number): PartPrefill | undefined {
    const targetHash = cells[from];
    const partId = cells[from + 1];
    const tokens = cells[from + 2];
    return isNonNegativeNumber(targetHash) && typeof partId === "string" && isNonNegativeNumber(tokens)
        ? { targetHash, partId, tokens }
        : undefined;
}

function decodePeer(cells: readonly unknown[], from: number): PeerAddress | undefined {
    const routerId = cells[from];
    const ip = cells[from + 1];
    return typeof routerId === "string" && typeof ip === "string" ? { routerId, ip } : undefined;
}

function decodeLeaving(cells: readonly unknown[], from: number): LeavingTarget | undefined {
    const targetHash = cells[from];
    const startedAtMs = cells[from + 1];
    return isFiniteNumber(targetHash) && isFiniteNumber(startedAtMs) ? { targetHash, startedAtMs } : undefined;
}

function decodeCondition(value: unknown): RouterCondition | undefined {
    if (!Array.isArray(value) || value.length !== conditionLength) {
        return undefined;
    }
    const [dataCentre, processorShare, utilization, isWithdrawn, version] = value as readonly unknown[];
    if (typeof dataCentre !== "string" || !isNonNegativeNumber(processorShare) || !isNonNegativeNumber(utilization)) {
        return undefined;
    }
    return typeof isWithdrawn === "boolean" && isNonNegativeNumber(version)
        ? {
              dataCentre,
              processorShare: processorShare / conditionScale,
              utilization: utilization / conditionScale,
              isWithdrawn,
              configurationVersion: version === noVersion ? undefined : version - 1,
          }
        : undefined;
}

/** Fractions as whole numbers, which take fewer bytes. */
function encodeCondition(condition: RouterCondition): Wire[11] {
    const { dataCentre, processorShare, utilization, isWithdrawn, configurationVersion } = condition;
    const scaled = [processorShare, utilization].map(value => Math.round(value * conditionScale));
    const version = configurationVersion === undefined ? noVersion : configurationVersion + 1;
    return [dataCentre, scaled[0], scaled[1], isWithdrawn, version];
}
