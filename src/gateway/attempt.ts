import type { IncomingHttpHeaders } from "node:http";
import type { Clock } from "../base/clock.js";
import { GrowingBuffer } from "../base/growingBuffer.js";
import type { CancelSend, SendFailure, TargetConnection, TargetRequest } from "./targetConnection.js";
import type { ResponseRelay, StoredResponse, TargetResponseHead } from "./responseRelay.js";
import type { ResponseHead, HeaderCodec } from "./wire.js";

/** Why a send surely did not run. */
export type NotExecutedReason =
    /** The target could not be reached. */
    | "not-sent"
    /** The target wants no requests any more; nothing was sent. */
    | "withheld"
    /** The target turned it away. */
    | "refused"
    /** Another target has the address. */
    | "other-target";

/** How one send to one target ended. */
export type AttemptOutcome =
    /** The whole answer has gone to the caller. */
    | { readonly kind: "answered" }
    /** Surely not run. */
    | { readonly kind: "not-run"; readonly reason: NotExecutedReason; readonly detail: string }
    /** The target ran it and answered with a failure of its own, which has not been passed on. */
    | { readonly kind: "failed"; readonly answer: StoredResponse }
    /** Part of an answer, an answer to another request, or none; it may have run. */
    | { readonly kind: "broken"; readonly detail: string }
    /** Stopped by this router for the reason given. */
    | { readonly kind: "stopped"; readonly reason: StopReason };

/** Why this router stops an attempt. */
export type StopReason = "silent" | "deadline" | "left" | "stopping";

/** Observes what the target does while it works. */
export interface AttemptObserver {
    /** Whether the target may still get the request, asked just before it is written. */
    canStart(): boolean;
    handleSent(): void;
    /** The head of the target's answer to this request, before any of it is passed on. */
    handleHead(head: ResponseHead): void;
    /** Output goes to the caller. */
    handleOutput(isFirst: boolean): void;
}

/** A failure's body beyond this size is cut off: it would be a fault of the target. */
const mostFailureBytes = 1_048_576;
const firstSuccess = 200;
const firstRedirect = 300;

/** One send to one target, from the connection to the outcome. */
export class Attempt {
    private readonly outcome: Promise<AttemptOutcome>;
    private resolveOutcome!: (outcome: AttemptOutcome) => void;
    private cancelSend: CancelSend | undefined;
    private head: TargetResponseHead | undefined;
    private readonly failureBody = new GrowingBuffer();
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

    /** Sends the request; the outcome always comes. */
    public run(connection: TargetConnection, request: TargetRequest): Promise<AttemptOutcome> {
        this.cancelSend = connection.send(request, {
            canStart: () => this.observer.canStart(),
            handleSent: () => this.observer.handleSent(),
            handleHead: (status, headers) => this.handleHead(status, headers),
            handleData: chunk => this.handleData(chunk),
            handleEnd: () => this.handleEnd(),
            handleFailure: (failure, detail) => this.handleFailure(failure, detail),
        });
        return this.outcome;
    }

    /** Stops the attempt; its connection is closed. */
    public stop(reason: StopReason): void {
        if (!this.hasEnded) {
            this.cancelSend?.();
            this.relay.handleDisconnect();
            this.endAttempt({ kind: "stopped", reason });
        }
    }

    private handleHead(status: number, headers: IncomingHttpHeaders): void {
        const decoded = this.codec.decodeResponse(status, headers, this.clock.nowDate());
        const head = { status, headers, decoded };
        // An answer that a target sends late or twice comes where the next one is expected. Its id identifies it; taken for
        // this request's answer, one caller would get what belongs to another.
        const isAnonymousRefusal = decoded.requestId === undefined && (decoded.isNotExecuted || decoded.isOtherTarget);
        if (decoded.requestId !== this.requestId && !isAnonymousRefusal) {
            this.fail("an answer to another request");
            return;
        }
        this.head = head;
        const isRefusal = decoded.isNotExecuted || decoded.isOtherTarget;
        if (!isRefusal && (!decoded.isSigned || decoded.hasEncodedBody)) {
            this.fail("an answer without the engine's signature or with an encoding");
            return;
        }
        this.observer.handleHead(decoded);
        if (isSuccess(status) && !this.relay.handleHead(head)) {
            this.fail("an answer that can't go on where the last one stopped");
        }
    }

    private handleData(chunk: Buffer): void {
        if (this.hasEnded || this.head === undefined) {
            return;
        }
        if (!isSuccess(this.head.status)) {
            this.failureBody.add(chunk);
            if (this.failureBody.length > mostFailureBytes) {
                this.fail("a failure with an endless body");
            }
            return;
        }
        const output = this.relay.handleData(chunk);
        if (output === "overlong") {
            this.fail("an event or a stream without end");
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
            this.endAttempt({ kind: "failed", answer: { ...this.head, body: this.failureBody.take() } });
        } else if (this.relay.handleEnd()) {
            this.endAttempt({ kind: "answered" });
        } else {
            this.fail("the answer ends inside an event");
        }
    }

    private handleFailure(failure: SendFailure, detail: string): void {
        if (this.hasEnded) {
            return;
        }
        this.relay.handleDisconnect();
        // Once the head says that the request was not run, a break behind it changes nothing.
        const { decoded } = this.head ?? {};
        if (decoded?.isNotExecuted === true || decoded?.isOtherTarget === true) {
            const reason = decoded.isOtherTarget ? "other-target" : "refused";
            this.endAttempt({ kind: "not-run", reason, detail });
        } else if (failure === "not-sent" || failure === "withheld") {
            this.endAttempt({ kind: "not-run", reason: failure, detail });
        } else {
            this.endAttempt({ kind: "broken", detail });
        }
    }

    private fail(detail: string): void {
        this.cancelSend?.();
        this.relay.handleDisconnect();
        this.endAttempt({ kind: "broken", detail });
    }

    private endAttempt(outcome: AttemptOutcome): void {
        this.hasEnded = true;
        this.resolveOutcome(outcome);
    }
}

function isSuccess(status: number): boolean {
    return status >= firstSuccess && status < firstRedirect;
}
