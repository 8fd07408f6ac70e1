import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { LynxarchError } from "../../base/errors.js";
import type { AccountUse } from "../../decisions/accountShares.js";

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
    readonly targetId: string;
    readonly partId: string;
    readonly tokens: number;
}

/** What a router has under way at one target. */
export interface TargetLoad {
    readonly targetId: string;
    readonly waitingTokens: number;
    readonly running: number;
}

/** What a router tells the others, whole each time: a lost message is made good by the next one. */
export interface PeerMessage {
    readonly routerId: string;
    /** Larger for later starts of the same router. */
    readonly incarnation: number;
    /** Rises within an incarnation, so that a datagram that was overtaken is known as old. */
    readonly sequence: number;
    readonly ip: string;
    readonly targets: readonly TargetLoad[];
    readonly accounts: ReadonlyMap<string, AccountUse>;
    /** Since some messages ago, as a message may be lost. */
    readonly reads: readonly PartRead[];
    /** Some of the routers it knows. */
    readonly peers: readonly PeerAddress[];
}

const amount = z.number().min(0);
/** Rows instead of objects: the names would be most of the message. */
const wireSchema = z.object({
    id: z.string().min(1),
    inc: z.number(),
    seq: z.number(),
    ip: z.string().min(1),
    targets: z.array(z.tuple([z.string(), amount, amount])),
    accounts: z.array(z.tuple([z.string(), amount, amount])),
    reads: z.array(z.tuple([z.string(), z.string(), amount])),
    peers: z.array(z.tuple([z.string(), z.string()])),
});

/** JSON of a message. */
export function encodePeerMessage(message: PeerMessage): Buffer {
    const wire: z.input<typeof wireSchema> = {
        id: message.routerId,
        inc: message.incarnation,
        seq: message.sequence,
        ip: message.ip,
        targets: message.targets.map(load => [load.targetId, Math.round(load.waitingTokens), load.running]),
        accounts: [...message.accounts].map(([name, use]) => [name, Math.round(use.asked), Math.round(use.served)]),
        reads: message.reads.map(read => [read.targetId, read.partId, read.tokens]),
        peers: message.peers.map(peer => [peer.routerId, peer.ip]),
    };
    return Buffer.from(JSON.stringify(wire));
}

/** Reads a message. Errors: no JSON, or of another form. */
export function decodePeerMessage(data: Buffer): Result<PeerMessage, PeerMessageError> {
    let json: unknown;
    try {
        json = JSON.parse(data.toString("utf8"));
    } catch (cause) {
        return err(new PeerMessageError("no JSON", cause));
    }
    const parsed = wireSchema.safeParse(json);
    if (!parsed.success) {
        return err(new PeerMessageError("of an unknown form", parsed.error));
    }
    const wire = parsed.data;
    return ok({
        routerId: wire.id,
        incarnation: wire.inc,
        sequence: wire.seq,
        ip: wire.ip,
        targets: wire.targets.map(([targetId, waitingTokens, running]) => ({ targetId, waitingTokens, running })),
        accounts: new Map(wire.accounts.map(([name, asked, served]) => [name, { asked, served }])),
        reads: wire.reads.map(([targetId, partId, tokens]) => ({ targetId, partId, tokens })),
        peers: wire.peers.map(([routerId, ip]) => ({ routerId, ip })),
    });
}
