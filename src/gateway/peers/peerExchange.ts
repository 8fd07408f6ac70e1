import { createSocket, type Socket } from "node:dgram";
import type { Result } from "neverthrow";
import type { Clock } from "../../base/clock.js";
import { describeError } from "../../base/errors.js";
import { DisposableStore, type Disposable } from "../../base/lifecycle.js";
import type { Logger } from "../../base/log.js";
import type { GrantTransport } from "../grants/grantClient.js";
import { decodeGrantMessage, encodeGrantMessage, isGrantDatagram, type GrantMessage } from "../grants/grantMessage.js";
import {
    decodeCrashMessage,
    encodeCrashMessage,
    isCrashDatagram,
    type CrashMessage,
} from "../quarantine/crashMessage.js";
import type { CrashTransport } from "../quarantine/crashReports.js";
import { decodePartMessage, encodePartMessage, isPartDatagram, type PartMessage } from "../quarantine/partMessage.js";
import type { PartTransport } from "../quarantine/partQuarantine.js";
import { aggregationPeriodMs } from "./accountAggregation.js";
import { MessageRelay } from "./messageRelay.js";
import { decodePeerMessage } from "./peerMessage.js";
import { isRelayEnvelope } from "./relayEnvelope.js";
import { decodeTotalsMessage, encodeTotalsMessage, isTotalsDatagram, type TotalsMessage } from "./totalsMessage.js";
import {
    decodeRolloutMessage,
    encodeRolloutMessage,
    isRolloutDatagram,
    type RolloutMessage,
} from "../rollouts/rolloutMessage.js";
import type { RolloutTransport } from "../rollouts/rollouts.js";
import {
    decodeStreamVersionMessage,
    encodeStreamVersionMessage,
    isStreamVersionDatagram,
    type StreamVersionMessage,
} from "../streams/streamVersionMessage.js";
import type { StreamVersionTransport } from "../streams/streamVersions.js";
import type { PeerState } from "./peerState.js";

/** Minimum interval between log lines about dropped datagrams; milliseconds. */
const dropLogPeriodMs = 10_000;

/** Dependencies of a {@link PeerExchange}. */
export interface PeerExchangeOptions {
    readonly ip: string;
    readonly port: number;
    readonly state: PeerState;
    readonly clock: Clock;
    readonly logger: Logger;
    /** Whether this router's messages are relayed within other data centres. */
    readonly isRelaying: () => boolean;
    /** A message about a grant was received from a known router. */
    readonly onDidReceiveGrantMessage: (senderId: string, message: GrantMessage) => void;
    /** A report of crashes was received from a known router. */
    readonly onDidReceiveCrashMessage: (message: CrashMessage) => void;
    /** A report on prompt parts under which targets crash was received from a known router. */
    readonly onDidReceivePartMessage: (message: PartMessage) => void;
    /** A report on a roll-out was received from a known router. */
    readonly onDidReceiveRolloutMessage: (senderId: string, message: RolloutMessage) => void;
    /** A message about the versions of streams was received from a known router. */
    readonly onDidReceiveStreamVersionMessage: (senderId: string, message: StreamVersionMessage) => void;
}

/**
 * Sends this router's state to its peers in rounds and receives theirs.
 *
 * Uses datagrams instead of calls: no message needs a retry, and a peer that has stopped costs no more than the send.
 */
export class PeerExchange
    implements GrantTransport, CrashTransport, PartTransport, RolloutTransport, StreamVersionTransport, Disposable
{
    private readonly store = new DisposableStore();
    private timer: NodeJS.Timeout | undefined;
    private totalsTimer: NodeJS.Timeout | undefined;
    private socket: Socket | undefined;
    private lastDropLogAtMs = Number.NEGATIVE_INFINITY;

    private readonly relay: MessageRelay;

    public constructor(private readonly options: PeerExchangeOptions) {
        const { state, isRelaying } = options;
        this.relay = new MessageRelay({ state, isRelaying, send: (ip, data) => this.sendData(ip, data) });
    }

    /** Starts to listen and to send. Rejects if the port can't be bound. */
    public start(): Promise<void> {
        const { ip, port, logger } = this.options;
        const socket = createSocket("udp4");
        this.socket = socket;
        this.store.add({ dispose: () => socket.close() });
        socket.on("message", (data, sender) => {
            try {
                this.handleDatagram(data, sender.address);
            } catch (error) {
                // Unhandled, it would end the process, and the next start would receive the same message.
                this.reportDropped(describeError(error));
            }
        });
        return new Promise((resolve, reject) => {
            socket.once("error", reject);
            socket.bind(port, ip, () => {
                socket.off("error", reject);
                socket.on("error", error =>
                    logger.write("warn", "the socket for peer messages failed", { detail: error.message }),
                );
                this.sendRound();
                this.totalsTimer = setInterval(() => this.sendTotals(), aggregationPeriodMs);
                resolve();
            });
        });
    }

    public dispose(): void {
        clearTimeout(this.timer);
        clearInterval(this.totalsTimer);
        this.store.dispose();
    }

    public send(routerId: string, message: GrantMessage): boolean {
        const ip = this.options.state.findAddress(routerId);
        if (ip === undefined || this.socket === undefined) {
            return false;
        }
        this.sendData(ip, encodeGrantMessage(message));
        return true;
    }

    public sendToAll(message: CrashMessage): void {
        this.sendDataToAll(encodeCrashMessage(message));
    }

    public sendPartsToAll(message: PartMessage): void {
        this.sendDataToAll(encodePartMessage(message));
    }

    public sendRollout(routerId: string, message: RolloutMessage): void {
        const ip = this.options.state.findAddress(routerId);
        if (ip !== undefined) {
            this.sendData(ip, encodeRolloutMessage(message));
        }
    }

    public sendStreamVersions(routerId: string, message: StreamVersionMessage): void {
        const ip = this.options.state.findAddress(routerId);
        if (ip !== undefined) {
            this.sendData(ip, encodeStreamVersionMessage(message));
        }
    }

    private sendDataToAll(data: Uint8Array): void {
        for (const ip of this.options.state.listAddresses()) {
            this.sendData(ip, data);
        }
    }

    /** Errors are ignored: the directory removes a stopped peer by the age of its last message. */
    private sendData(ip: string, data: Uint8Array): void {
        this.options.state.traffic.recordSent(ip, data.length);
        this.socket?.send(data, this.options.port, ip, () => undefined);
    }

    private handleDatagram(data: Buffer, senderIp: string): void {
        if (isGrantDatagram(data)) {
            this.handleGrantDatagram(data, senderIp);
            return;
        }
        if (isCrashDatagram(data)) {
            this.handleCrashDatagram(data, senderIp);
            return;
        }
        if (isPartDatagram(data)) {
            const { onDidReceivePartMessage } = this.options;
            this.handleKnown(senderIp, decodePartMessage(data), (...[, message]) => onDidReceivePartMessage(message));
            return;
        }
        if (isTotalsDatagram(data)) {
            this.handleTotalsDatagram(data, senderIp);
            return;
        }
        if (isRolloutDatagram(data)) {
            this.handleRolloutDatagram(data, senderIp);
            return;
        }
        if (isStreamVersionDatagram(data)) {
            const { onDidReceiveStreamVersionMessage } = this.options;
            this.handleKnown(senderIp, decodeStreamVersionMessage(data), onDidReceiveStreamVersionMessage);
            return;
        }
        if (isRelayEnvelope(data)) {
            this.relay.handleEnvelope(data, senderIp).orTee(error => this.reportDropped(error.message));
            return;
        }
        decodePeerMessage(data).match(
            message => void this.options.state.applyMessage(message, data.length),
            error => this.reportDropped(error.message),
        );
    }

    private handleGrantDatagram(data: Buffer, senderIp: string): void {
        const { onDidReceiveGrantMessage } = this.options;
        this.handleKnown(senderIp, decodeGrantMessage(data), onDidReceiveGrantMessage);
    }

    private handleCrashDatagram(data: Buffer, senderIp: string): void {
        const { onDidReceiveCrashMessage } = this.options;
        this.handleKnown(senderIp, decodeCrashMessage(data), (...[, message]) => onDidReceiveCrashMessage(message));
    }

    private handleTotalsDatagram(data: Buffer, senderIp: string): void {
        const { state } = this.options;
        this.handleKnown(senderIp, decodeTotalsMessage(data), (senderId, message) =>
            state.applyTotals(senderId, message),
        );
    }

    private handleRolloutDatagram(data: Buffer, senderIp: string): void {
        const { onDidReceiveRolloutMessage } = this.options;
        this.handleKnown(senderIp, decodeRolloutMessage(data), onDidReceiveRolloutMessage);
    }

    /** Passes a decoded message to `handle` if its sender is a known router. */
    private handleKnown<T>(
        senderIp: string,
        message: Result<T, Error>,
        handle: (senderId: string, message: T) => void,
    ): void {
        const senderId = this.options.state.findRouter(senderIp);
        if (senderId === undefined) {
            this.reportDropped("sender is not a known router");
            return;
        }
        message.match(
            value => handle(senderId, value),
            error => this.reportDropped(error.message),
        );
    }

    private reportDropped(detail: string): void {
        const { clock, logger } = this.options;
        if (clock.nowMs() - this.lastDropLogAtMs > dropLogPeriodMs) {
            this.lastDropLogAtMs = clock.nowMs();
            logger.write("warn", "dropped a message from a router", { detail });
        }
    }

    private sendTotals(): void {
        const { state } = this.options;
        const encoded = new Map<TotalsMessage["totals"], Uint8Array>();
        for (const { routerId, message } of state.createTotalsMessages()) {
            const ip = state.findAddress(routerId);
            const data = encoded.get(message.totals) ?? encodeTotalsMessage(message);
            encoded.set(message.totals, data);
            if (ip !== undefined) {
                this.sendData(ip, data);
            }
        }
    }

    private sendRound(): void {
        this.relay.sendRound();
        this.timer = setTimeout(() => this.sendRound(), this.options.state.round.periodMs);
    }
}
