import type { IncomingHttpHeaders } from "node:http";
import type { Clock } from "../base/clock.js";
import { GrowingBuffer } from "../base/growingBuffer.js";
import type { CancelSend, SendFailure, TargetConnection, TargetRequest } from "./targetConnection.js";
import type { ResponseRelay, StoredResponse, TargetResponseHead } from "./responseRelay.js";
import type { UnsentBody } from "./unsentResponse.js";
import type { ResponseHead, HeaderCodec } from "./wire.js";

/** Why a request was certainly not executed by the target. */
export type NotExecutedReason =
    /** The target could not be reached. */
    | "not-sent"
    /** The target stopped accepting requests before this one was written; nothing was sent. */
    | "withheld"
    /** The target refused the request. */
    | "refused"
    /** Another target now has the address. */
    | "other-target";

/** How one attempt at one target ended. */
export type AttemptOutcome =
    /** The complete response has been sent to the caller. */
    | { readonly kind: "answered" }
    /** Certainly not executed. */
    | { readonly kind: "not-run"; readonly reason: NotExecutedReason; readonly detail: string }
    /** The target executed the request and responded with an error, which has not been relayed to the caller. */
    | { readonly kind: "failed"; readonly answer: StoredResponse }
    /** A partial response, the response to another request, or no response; the request may have been executed. */
    | {
          readonly kind: "broken";
          readonly detail: string;
          /** The target sent more than any response to the request can hold. */
          readonly isEndless?: boolean;
      }
    /** Stopped by this router. */
    | { readonly kind: "stopped"; readonly reason: StopReason };

/** Why this router stops an attempt: target inactive, deadline reached, caller disconnected, or router stopping. */
export type StopReason = "silent" | "deadline" | "left" | "stopping";

/** Receives the progress of an attempt. */
export interface AttemptObserver {
    /** Whether the relay receives this attempt's response; until then it receives that of the attempt that this one may replace. */
    isRelayed(): boolean;
    /** Whether the request may still be sent to the target; called just before the request is written. */
    canStart(): boolean;
    handleSent(): void;
    /** The request's body is being written, or bytes of it were taken; undefined when the attempt has ended. */
    handleBody(body: UnsentBody | undefined): void;
    /** The head of the target's response to this request; called before any of the response is relayed. */
    handleHead(head: ResponseHead): void;
    /** A successful response begins; called before any of it is relayed. */
    handleAccepted(): void;
    /** Output is sent to the caller. */
    handleOutput(isFirst: boolean): void;
}

/** Largest body of an error response; a target that sends more is faulty, and the attempt fails. */
const maxErrorBodyBytes = 1_048_576;
const minSuccessStatus = 200;
const minRedirectStatus = 300;

/** One attempt to execute a request at one target, from the connection to the outcome. */
export class Attempt {
    private readonly outcome: Promise<AttemptOutcome>;
    private resolveOutcome!: (outcome: AttemptOutcome) => void;
    private cancelSend: CancelSend | undefined;
    private head: TargetResponseHead | undefined;
    private readonly errorBody = new GrowingBuffer();
    private hasEnded = false;

    public constructor(
        private readonly requestId: string | undefined,
        private readonly codec: HeaderCodec,
        private readonly clock: Clock,
        private readonly relay: ResponseRelay,
        private readonly observer: AttemptObserver,
    ) {
        this.outcome = new Promise(resolve => {
            this.resolveOutcome = resolve;
        });
    }

    /** Sends the request. The promise always resolves. */
    public run(connection: TargetConnection, request: TargetRequest): Promise<AttemptOutcome> {
        this.cancelSend = connection.send(request, {
            canStart: () => this.observer.canStart(),
            handleSent: () => {
                this.observer.handleSent();
                this.observer.handleBody(connection);
            },
            handleDrain: () => this.observer.handleBody(connection),
            handleHead: (status, headers) => this.handleHead(status, headers),
            handleData: chunk => this.handleData(chunk),
            handleEnd: () => this.handleEnd(),
            handleFailure: (failure, detail) => this.handleFailure(failure, detail),
        });
        return this.outcome;
    }

    /** Stops the attempt and closes its connection. */
    public stop(reason: StopReason): void {
        if (!this.hasEnded) {
            this.cancelSend?.();
            this.clearRelay();
            this.endAttempt({ kind: "stopped", reason });
        }
    }

    private handleHead(status: number, headers: IncomingHttpHeaders): void {
        const decoded = this.codec.decodeResponse(status, headers, this.clock.nowDate());
        const head = { status, headers, decoded };
        // A response that a target sends late or twice arrives where the response to the next request is expected. Without the comparison of
        // ids one caller would receive the response to another caller's request, or be told that a request was refused which runs.
        if (decoded.requestId !== this.requestId) {
            this.fail("the response belongs to another request");
            return;
        }
        this.head = head;
        const isRefusal = decoded.isNotExecuted || decoded.isOtherTarget;
        if (!isRefusal && (!decoded.isSigned || decoded.hasEncodedBody)) {
            this.fail("the response has no engine signature or has an encoded body");
            return;
        }
        this.observer.handleHead(decoded);
        if (isSuccess(status)) {
            this.observer.handleAccepted();
            if (!this.relay.handleHead(head)) {
                this.fail("the response can't continue the one relayed so far");
            }
        }
    }

    /** Returns the number of events that were relayed. */
    private handleData(chunk: Buffer): number {
        if (this.hasEnded || this.head === undefined) {
            return 0;
        }
        const { relayedEvents } = this.relay;
        this.handleBody(this.head.status, chunk);
        return this.relay.relayedEvents - relayedEvents;
    }

    private handleBody(status: number, chunk: Buffer): void {
        if (!isSuccess(status)) {
            this.errorBody.add(chunk);
            if (this.errorBody.length > maxErrorBodyBytes) {
                this.fail("error response body exceeds its maximum size");
            }
            return;
        }
        const output = this.relay.handleData(chunk);
        if (output === "overlong") {
            this.fail("an event or the whole stream exceeds its maximum size", true);
        } else if (output !== "none") {
            this.observer.handleOutput(output === "first");
        }
    }

    private handleEnd(): void {
        if (this.hasEnded || this.head === undefined) {
            return;
        }
        const { decoded, status } = this.head;
        if (decoded.isOtherTarget || decoded.isNotExecuted) {
            const reason = decoded.isOtherTarget ? "other-target" : "refused";
            this.endAttempt({ kind: "not-run", reason, detail: `status ${status}` });
        } else if (!isSuccess(status)) {
            this.endAttempt({ kind: "failed", answer: { ...this.head, body: this.errorBody.take() } });
        } else if (this.relay.handleEnd()) {
            this.endAttempt({ kind: "answered" });
        } else {
            this.fail("the response ended inside an event");
        }
    }

    private handleFailure(failure: SendFailure, detail: string): void {
        if (this.hasEnded) {
            return;
        }
        this.clearRelay();
        // Once the head has reported that the request was not executed, a later disconnect changes nothing.
        const { decoded } = this.head ?? {};
        if (decoded?.isNotExecuted === true || decoded?.isOtherTarget === true) {
            const reason = decoded.isOtherTarget ? "other-target" : "refused";
            this.endAttempt({ kind: "not-run", reason, detail });
        } else if (failure === "not-sent" || failure === "withheld") {
            this.endAttempt({ kind: "not-run", reason: failure, detail });
        } else {
            this.endAttempt({ kind: "broken", detail, isEndless: failure === "endless" });
        }
    }

    private fail(detail: string, isEndless = false): void {
        this.cancelSend?.();
        this.clearRelay();
        this.endAttempt({ kind: "broken", detail, isEndless });
    }

    private clearRelay(): void {
        if (this.observer.isRelayed()) {
            this.relay.handleDisconnect();
        }
    }

    private endAttempt(outcome: AttemptOutcome): void {
        this.hasEnded = true;
        this.observer.handleBody(undefined);
        this.resolveOutcome(outcome);
    }
}

function isSuccess(status: number): boolean {
    return status >= minSuccessStatus && status < minRedirectStatus;
}
