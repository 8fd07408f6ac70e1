import { Decoder, encode } from "@msgpack/msgpack";
import { err, ok, type Result } from "neverthrow";
import { LynxarchError } from "../../base/errors.js";
import type { AccountUsage } from "../../decisions/shares/accountUsage.js";
import { isCount, isNonNegativeNumber, isFiniteNumber, isNonEmptyString } from "../wireValues.js";

/** A peer message can't be decoded. */
export class PeerMessageError extends LynxarchError {
    public readonly code = "peer-message-invalid";
}

/** A router and the IP address at which it receives peer messages. */
export interface PeerAddress {
    readonly routerId: string;
    readonly ip: string;
}

/** A prompt part whose prefill has begun at a target. */
export interface PartPrefill {
    /** 32-bit hash of the target's id: four bytes instead of about fifteen. */
    readonly targetHash: number;
    readonly partId: string;
    readonly tokens: number;
}

/** A router's current load at one target. */
export interface TargetLoad {
    /** 32-bit hash of the target's id. */
    readonly targetHash: number;
    /** Prompt tokens that wait for their prefill. */
    readonly waitingTokens: number;
    /** Requests in progress. */
    readonly running: number;
    /** Tokens that the router's requests wrote into the target's cache since the router's last message. */
    readonly writtenTokens: number;
}

/** A leaving target's incarnation, as the sender received it in a response or record of the target, or from a peer. */
export interface LeavingTarget {
    /** 32-bit hash of the target's id. */
    readonly targetHash: number;
    /** When the target started, by its own clock; milliseconds since the epoch. */
    readonly startedAtMs: number;
}

/** Location, capacity and load of a router, as reported to its peers. */
export interface RouterCondition {
    readonly dataCentre: string;
    /** Fraction of a core that the router may use. */
    readonly processorShare: number;
    /** Smoothed fraction of the time in which the router's event loop was busy, 0 to 1. */
    readonly utilization: number;
    /** Whether the router requests that the balancer exclude it. */
    readonly isWithdrawn: boolean;
    /** Version of the configuration in force; undefined while the platform is unreachable, or without a configuration. */
    readonly configurationVersion?: number | undefined;
}

/** The complete state that a router replicates to its peers, so that the next message replaces a lost one. */
export interface PeerMessage {
    readonly routerId: string;
    /** Larger for later starts of the same router. */
    readonly incarnation: number;
    /** Increases within an incarnation, so that datagrams that arrive out of order are detected. */
    readonly sequence: number;
    readonly ip: string;
    /** Interval until the sender's next message; milliseconds. */
    readonly periodMs: number;
    readonly targets: readonly TargetLoad[];
    /** Window that the accounts' usage covers; milliseconds. */
    readonly coveredMs: number;
    readonly accounts: ReadonlyMap<string, AccountUsage>;
    /** Recent prefills, each repeated in several messages, as a message may be lost. */
    readonly reads: readonly PartPrefill[];
    /** Some of the routers from which the sender has received messages. */
    readonly peers: readonly PeerAddress[];
    /** Targets that are leaving. */
    readonly leaving: readonly LeavingTarget[];
    readonly condition: RouterCondition;
    /** Whether the sender forwards messages of routers in other data centres (see relayEnvelope.ts). */
    readonly canRelay: boolean;
}

const loadColumns = 4;
const accountColumns = 4;
const prefillColumns = 3;
const peerColumns = 2;
const leavingColumns = 2;
/** Fractions are sent as whole thousandths. */
const conditionScale = 1_000;
const wireLength = 12;
const conditionLength = 5;
/** A configuration version is encoded as the version plus one; 0 stands for none. */
const noVersion = 0;
/**
 * Target hash of the row of `reads` that states the sender's capabilities as bits in place of the tokens. It exceeds 32 bits, so that
 * it is no target's hash: earlier builds accept the row and find no target, whereas they drop messages with further entries.
 */
const capabilityHash = 2 ** 32;
const relayCapability = 1;
const decoder = new Decoder();

/** Entries of the encoded message. Rows are concatenated, as a nested array for each row would only add bytes. */
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
 * Encodes a message in MessagePack (https://msgpack.org). The message size determines how often a round can be sent.
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
        [...message.accounts].flatMap(([name, usage]) => [
            name,
            Math.round(usage.asked),
            Math.round(usage.served),
            Math.round(usage.recentlyServed),
        ]),
        [...listCapabilities(message), ...message.reads].flatMap(prefill => [
            prefill.targetHash,
            prefill.partId,
            prefill.tokens,
        ]),
        message.peers.flatMap(peer => [peer.routerId, peer.ip]),
        message.leaving.flatMap(({ targetHash, startedAtMs }) => [targetHash, startedAtMs]),
        encodeCondition(message.condition),
    ];
    return encode(wire);
}

/** Decodes a message. Errors: not valid MessagePack, or an unsupported layout. */
export function decodePeerMessage(data: Uint8Array): Result<PeerMessage, PeerMessageError> {
    let value: unknown;
    try {
        value = decoder.decode(data);
    } catch (cause) {
        return err(new PeerMessageError("peer message is not valid MessagePack", cause));
    }
    const message = Array.isArray(value) && value.length === wireLength ? decodeWire(value) : undefined;
    return message === undefined ? err(new PeerMessageError("peer message has an unsupported layout")) : ok(message);
}

/** Runs for every message of every peer. The explicit checks take a fraction of the time of a schema validation. */
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
    const reads = decodeRows(wire[8], prefillColumns, decodePrefill);
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
        reads: reads.filter(({ targetHash }) => targetHash !== capabilityHash),
        peers,
        leaving,
        condition,
        canRelay: reads.some(
            ({ targetHash, tokens }) => targetHash === capabilityHash && (tokens & relayCapability) !== 0,
        ),
    };
}

function listCapabilities({ canRelay }: PeerMessage): readonly PartPrefill[] {
    return canRelay ? [{ targetHash: capabilityHash, partId: "", tokens: relayCapability }] : [];
}

/** Decodes concatenated rows. Returns undefined if a row is incomplete or can't be decoded. */
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

function decodePrefill(cells: readonly unknown[], from: number): PartPrefill | undefined {
    const targetHash = cells[from];
    const partId = cells[from + 1];
    const tokens = cells[from + 2];
    return isCount(targetHash) && typeof partId === "string" && isCount(tokens)
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

/** Encodes fractions as integers, which take fewer bytes. */
function encodeCondition(condition: RouterCondition): Wire[11] {
    const { dataCentre, processorShare, utilization, isWithdrawn, configurationVersion } = condition;
    const scaled = [processorShare, utilization].map(value => Math.round(value * conditionScale));
    const version = configurationVersion === undefined ? noVersion : configurationVersion + 1;
    return [dataCentre, scaled[0], scaled[1], isWithdrawn, version];
}
