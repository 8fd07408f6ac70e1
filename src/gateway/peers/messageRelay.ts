import { err, ok, type Result } from "neverthrow";
import { createRoundPlan, type RoundPlan } from "../../decisions/peers/relayPlan.js";
import { encodePeerMessage, type PeerMessage } from "./peerMessage.js";
import { maxControlBytesPerSecond, type PeerState } from "./peerState.js";
import { decodeRelayEnvelope, encodeRelayEnvelope, RelayEnvelopeError } from "./relayEnvelope.js";

/** Dependencies of a {@link MessageRelay}. */
export interface MessageRelayOptions {
    readonly state: PeerState;
    /** Whether this router's messages are relayed within other data centres. */
    readonly isRelaying: () => boolean;
    readonly send: (ip: string, data: Uint8Array) => void;
}

const msPerSecond = 1_000;
const directPlan: RoundPlan = { relayIds: [], coveredIds: new Set() };

/**
 * Sends this router's messages in rounds, directly and to relays, and forwards those of other data centres' routers.
 *
 * A relay forwards the message without its envelope. A receiver handles it as one that its origin sent, and never forwards it, so that
 * there are no loops.
 */
export class MessageRelay {
    /** What was forwarded since this router's last round. */
    private forwardedBytes = 0;

    public constructor(private readonly options: MessageRelayOptions) {}

    /** Sends this router's message of the next round, and records the round. */
    public sendRound(): void {
        const { state, send } = this.options;
        const message = state.createMessage();
        const data = encodePeerMessage(message);
        const plan = this.options.isRelaying() ? this.createPlan(message, data.length) : directPlan;
        const covered = new Set([...plan.coveredIds].flatMap(routerId => state.findAddress(routerId) ?? []));
        const relays = plan.relayIds.flatMap(routerId => state.findAddress(routerId) ?? []);
        const addresses = state.listAddresses();
        const direct = addresses.filter(ip => !covered.has(ip));
        direct.forEach(ip => send(ip, data));
        if (relays.length > 0) {
            const envelope = encodeRelayEnvelope(data);
            relays.forEach(ip => send(ip, envelope));
            state.traffic.recordSentToRelays(relays.length);
        }
        const sentBytes = (direct.length + relays.length) * data.length + this.forwardedBytes;
        this.forwardedBytes = 0;
        state.recordRound(data.length, addresses.length, sentBytes);
    }

    /**
     * Applies the message in an envelope and forwards it within this router's data centre, unless it was received before. Errors: malformed
     * envelope, or one that was not sent by the origin of its message.
     */
    public handleEnvelope(envelope: Uint8Array, senderIp: string): Result<void, RelayEnvelopeError> {
        return decodeRelayEnvelope(envelope).andThen(({ message, data }) => {
            if (message.ip !== senderIp) {
                return err(new RelayEnvelopeError("envelope was not sent by the origin of its message"));
            }
            if (this.options.state.applyMessage(message, data.length)) {
                this.sendForwarded(message.routerId, message.condition.dataCentre, data);
            }
            return ok(undefined);
        });
    }

    private createPlan(message: PeerMessage, messageBytes: number): RoundPlan {
        const { state } = this.options;
        const messageBudget = (maxControlBytesPerSecond * state.round.periodMs) / msPerSecond / messageBytes;
        const routers = state.listRelayPeers().filter(({ isRecent }) => isRecent);
        const { routerId, sequence, canRelay, condition } = message;
        return createRoundPlan({ routerId, sequence, canRelay, ...condition, messageBudget }, routers);
    }

    /** Routers that don't relay are left out, as origins send to them directly. */
    private sendForwarded(originId: string, originDataCentre: string, data: Uint8Array): void {
        const { state, send } = this.options;
        const { dataCentre } = state;
        if (originDataCentre === dataCentre) {
            return;
        }
        const recipients = state
            .listRelayPeers()
            .filter(peer => peer.canRelay && peer.dataCentre === dataCentre && peer.routerId !== originId);
        recipients.forEach(({ ip }) => send(ip, data));
        this.forwardedBytes += recipients.length * data.length;
        state.traffic.recordForwarded();
    }
}
