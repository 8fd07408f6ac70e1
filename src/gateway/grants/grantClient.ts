import type { Clock } from "../../base/clock.js";
import { hashFast } from "../../base/hash.js";
import type { Disposable } from "../../base/lifecycle.js";
import type { SetTimer } from "../../base/timers.js";
import type { PromptBounds } from "../../decisions/admission/promptAdmission.js";
import type { TargetOwners } from "../../decisions/placement/targetOwners.js";
import type { Target } from "../target.js";
import type { RequestHead } from "../wire.js";
import type { GrantMessage, GrantProgress, GrantReply, GrantRequest } from "./grantMessage.js";
import type { GrantOwner } from "./grantOwner.js";

/** What a prompt is to be granted. */
export interface GrantDemand {
    readonly target: Target;
    readonly head: RequestHead;
    readonly copiedTokens: number;
    readonly outputTokens: number;
    /** The request's client account; undefined on public routes. */
    readonly account: string | undefined;
    /** What the request counts against its account's share. */
    readonly chargedTokens: number;
    readonly bounds: Pick<PromptBounds, "maxWaitMs" | "maxUsage">;
    readonly windowMs: number;
}

/** A granted send, whose progress goes to the engine's owner. */
export interface Grant {
    /** Part of the engine's reading time that was given away with it. */
    readonly usage: number;
    report(progress: GrantProgress): void;
}

/** How a demand was decided. */
export type GrantOutcome =
    | { readonly kind: "granted"; readonly grant: Grant; readonly reply: GrantReply }
    | { readonly kind: "denied"; readonly reply: GrantReply }
    /** No owner answered in time, or it does not know the target. */
    | { readonly kind: "unanswered" };

/** Sends messages to other routers. */
export interface GrantTransport {
    /** False: the router's address is not known. */
    send(routerId: string, message: GrantMessage): boolean;
}

/** What a {@link GrantClient} needs. */
export interface GrantClientOptions {
    readonly ownId: string;
    readonly incarnation: number;
    readonly owners: TargetOwners;
    readonly localOwner: GrantOwner;
    readonly transport: GrantTransport;
    readonly clock: Clock;
    readonly setTimer: SetTimer;
}

interface PendingDemand {
    readonly ownerId: string;
    readonly targetHash: number;
    readonly timer: Disposable;
    readonly handleOutcome: (outcome: GrantOutcome) => void;
}

/**
 * An owner that has not answered by then is slow, cut off or gone. A round trip takes a few milliseconds; the rest covers a
 * pause of the owner's event loop, and is a small part of usual objectives.
 */
const answerTimeoutMs = 40;

/** Asks the owners of engines for grants. */
export class GrantClient implements Disposable {
    private readonly pending = new Map<number, PendingDemand>();
    private lastGrantId = 0;

    public constructor(private readonly options: GrantClientOptions) {}

    /** Asks the engine's owner; the outcome always comes. */
    public submit(demand: GrantDemand, handleOutcome: (outcome: GrantOutcome) => void): void {
        const { ownId, owners, localOwner: ownBooks, transport, clock, setTimer } = this.options;
        const request = this.createRequest(demand, false);
        const ownerId = owners.find(request.targetHash, clock.nowMs());
        if (ownerId === ownId) {
            handleOutcome(this.createOutcome(ownBooks.check(ownId, request), request, ownId));
        } else if (ownerId === undefined || !transport.send(ownerId, request)) {
            handleOutcome({ kind: "unanswered" });
        } else {
            const timer = setTimer(answerTimeoutMs, () => this.handleSilence(request.grantId));
            this.pending.set(request.grantId, {
                ownerId,
                targetHash: request.targetHash,
                timer,
                handleOutcome,
            });
        }
    }

    /** Books a send that does not depend on the owner's answer, such as one to a second engine. */
    public record(demand: GrantDemand): Grant | undefined {
        const { ownId, owners, localOwner: ownBooks, transport, clock } = this.options;
        const request = this.createRequest(demand, true);
        const ownerId = owners.find(request.targetHash, clock.nowMs());
        if (ownerId === ownId) {
            ownBooks.check(ownId, request);
        } else if (ownerId === undefined || !transport.send(ownerId, request)) {
            return undefined;
        }
        return this.createGrant(request, ownerId, 0);
    }

    public applyReply(senderId: string, reply: GrantReply): void {
        const pending = this.pending.get(reply.grantId);
        this.options.owners.recordReply(senderId);
        if (pending === undefined || pending.ownerId !== senderId) {
            return;
        }
        this.pending.delete(reply.grantId);
        pending.timer.dispose();
        pending.handleOutcome(this.createOutcome(reply, pending, senderId));
    }

    public dispose(): void {
        for (const { timer } of this.pending.values()) {
            timer.dispose();
        }
        this.pending.clear();
    }

    private handleSilence(grantId: number): void {
        const pending = this.pending.get(grantId);
        if (pending === undefined) {
            return;
        }
        const { owners, clock } = this.options;
        this.pending.delete(grantId);
        owners.recordTimeout(pending.ownerId, clock.nowMs());
        // Granted after all by a slow owner, it would hold up others there.
        this.createGrant({ grantId, targetHash: pending.targetHash }, pending.ownerId, 0).report("not-run");
        pending.handleOutcome({ kind: "unanswered" });
    }

    private createRequest({ target, head, copiedTokens, ...demand }: GrantDemand, isBinding: boolean): GrantRequest {
        const sharedParts = head.promptParts.slice(0, -1);
        const sharedTokens = sharedParts.reduce((sum, part) => sum + part.tokens, 0);
        this.lastGrantId += 1;
        return {
            kind: "request",
            grantId: this.lastGrantId,
            incarnation: this.options.incarnation,
            targetHash: target.idHash,
            sharedParts,
            ownTokens: Math.max(0, head.promptTokens - sharedTokens),
            copiedTokens,
            outputTokens: demand.outputTokens,
            accountHash: demand.account === undefined ? 0 : hashFast(demand.account),
            chargedTokens: demand.chargedTokens,
            maxWaitMs: demand.bounds.maxWaitMs,
            maxUsage: demand.bounds.maxUsage,
            windowMs: demand.windowMs,
            isUnconditional: isBinding,
        };
    }

    private createOutcome(reply: GrantReply, request: Pick<GrantRequest, "targetHash">, ownerId: string): GrantOutcome {
        if (!reply.isKnown) {
            return { kind: "unanswered" };
        }
        return reply.granted
            ? {
                  kind: "granted",
                  grant: this.createGrant({ ...request, grantId: reply.grantId }, ownerId, reply.usage),
                  reply,
              }
            : { kind: "denied", reply };
    }

    private createGrant(
        { grantId, targetHash }: Pick<GrantRequest, "grantId" | "targetHash">,
        ownerId: string,
        use: number,
    ): Grant {
        const { ownId, incarnation, localOwner: ownBooks, transport } = this.options;
        return {
            usage: use,
            report: progress => {
                const report = { kind: "report", grantId, incarnation, targetHash, progress } as const;
                if (ownerId === ownId) {
                    ownBooks.applyReport(ownId, report);
                } else {
                    transport.send(ownerId, report);
                }
            },
        };
    }
}
