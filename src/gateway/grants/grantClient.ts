import type { Clock } from "../../base/clock.js";
import { hashFast } from "../../base/hash.js";
import type { Disposable } from "../../base/lifecycle.js";
import type { SetTimer } from "../../base/timers.js";
import type { PromptBounds } from "../../decisions/admission/promptAdmission.js";
import type { EngineSpeed } from "../../decisions/placement/engineSpeed.js";
import type { TargetOwners } from "../../decisions/placement/targetOwners.js";
import type { Target } from "../target.js";
import type { RequestHead } from "../wire.js";
import type { GrantMessage, GrantProgress, GrantReply, GrantReport, GrantRequest } from "./grantMessage.js";
import type { GrantOwner, SpareCapacity } from "./grantOwner.js";

/** A prompt for which a grant is requested, and the limits that apply to it. */
export interface GrantDemand {
    readonly target: Target;
    readonly head: RequestHead;
    /** Prompt tokens that the engine copies from another engine. */
    readonly copiedTokens: number;
    /** Tokens that the request is expected to generate. */
    readonly outputTokens: number;
    /** The request's client account; undefined on public routes. */
    readonly account: string | undefined;
    /** Tokens that are charged against the account's share. */
    readonly chargedTokens: number;
    /** Maximum wait and maximum usage of the engine. */
    readonly bounds: Pick<PromptBounds, "maxWaitMs" | "maxUsage">;
    /** Window over which the engine's limit applies; milliseconds. */
    readonly windowMs: number;
}

/** A granted send. Its progress is reported to the engine's owner. */
export interface Grant {
    /** Fraction of the engine's prefill time in the window that is granted, this send included. */
    readonly usage: number;
    report(progress: GrantProgress): void;
}

/** Result of a request for a grant. */
export type GrantOutcome =
    | { readonly kind: "granted"; readonly grant: Grant; readonly reply: GrantReply }
    | { readonly kind: "denied"; readonly reply: GrantReply }
    /** No owner replied in time, or the owner has no record of the target. */
    | { readonly kind: "unanswered" };

/** Sends messages to other routers. */
export interface GrantTransport {
    /** Returns false if the router's address is not known. */
    send(routerId: string, message: GrantMessage): boolean;
}

/** Dependencies of a {@link GrantClient}. */
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
    readonly speed: EngineSpeed;
    readonly handleOutcome: (outcome: GrantOutcome) => void;
}

/**
 * Time-out of a grant request. An owner that has not replied by then is slow, unreachable or stopped. A round trip takes a few
 * milliseconds; the rest allows for a pause of the owner's event loop, and is a small part of usual latency objectives.
 */
const replyTimeoutMs = 40;
/** Time between two reports with a slowdown to an owner that has not shown that it decodes them. */
const probePeriodMs = 1_000;

/** Requests grants from the owners of engines. */
export class GrantClient implements Disposable {
    private readonly pending = new Map<number, PendingDemand>();
    private lastGrantId = 0;
    /** Owners whose last reply had a speed factor, and which so decode a slowdown in reports. */
    private readonly decodingOwners = new Set<string>();
    /** When other owners were last sent a report with a slowdown. */
    private readonly probedAtMs = new Map<string, number>();

    public constructor(private readonly options: GrantClientOptions) {}

    /** Id of the router that would be asked for a grant now; undefined if none can be. */
    public findOwner({ idHash }: Pick<Target, "idHash">): string | undefined {
        return this.options.owners.find(idHash, this.options.clock.nowMs());
    }

    /** Requests a grant from the engine's owner. Calls `handleOutcome` exactly once unless the client is disposed first. */
    public submit(demand: GrantDemand, handleOutcome: (outcome: GrantOutcome) => void): void {
        const { ownId, owners, localOwner, transport, clock, setTimer } = this.options;
        const request = this.createRequest(demand, false);
        const { speed } = demand.target;
        const ownerId = owners.find(request.targetHash, clock.nowMs());
        if (ownerId === ownId) {
            handleOutcome(this.createOutcome(localOwner.check(ownId, request), { ...request, speed }, ownId));
        } else if (ownerId === undefined || !transport.send(ownerId, request)) {
            handleOutcome({ kind: "unanswered" });
        } else {
            const timer = setTimer(replyTimeoutMs, () => this.handleTimeout(request.grantId));
            this.pending.set(request.grantId, {
                ownerId,
                targetHash: request.targetHash,
                timer,
                speed,
                handleOutcome,
            });
        }
    }

    /**
     * Records a send that does not depend on the owner's decision, such as one to a second engine. Returns undefined if there is no owner
     * to record it.
     */
    public record(demand: GrantDemand): Grant | undefined {
        const { ownId, owners, localOwner, transport, clock } = this.options;
        const request = this.createRequest(demand, true);
        const ownerId = owners.find(request.targetHash, clock.nowMs());
        if (ownerId === ownId) {
            localOwner.check(ownId, request);
        } else if (ownerId === undefined || !transport.send(ownerId, request)) {
            return undefined;
        }
        return this.createGrant({ ...request, speed: demand.target.speed }, ownerId, 0);
    }

    /** Applies a reply. Only the first reply of the router that the request was sent to has an effect on the request. */
    public applyReply(senderId: string, reply: GrantReply): void {
        const pending = this.pending.get(reply.grantId);
        this.options.owners.recordReply(senderId);
        if (pending === undefined || pending.ownerId !== senderId) {
            return;
        }
        this.pending.delete(reply.grantId);
        if (reply.speedFactor === undefined) {
            this.decodingOwners.delete(senderId);
        } else {
            this.decodingOwners.add(senderId);
        }
        pending.timer.dispose();
        pending.handleOutcome(this.createOutcome(reply, pending, senderId));
    }

    /** What this router grants of the engines that it owns; undefined without any. */
    public computeSpareCapacity(): SpareCapacity | undefined {
        return this.options.localOwner.computeSpareCapacity();
    }

    public dispose(): void {
        for (const { timer } of this.pending.values()) {
            timer.dispose();
        }
        this.pending.clear();
    }

    private handleTimeout(grantId: number): void {
        const pending = this.pending.get(grantId);
        if (pending === undefined) {
            return;
        }
        const { owners, clock } = this.options;
        this.pending.delete(grantId);
        owners.recordTimeout(pending.ownerId, clock.nowMs());
        // A slow owner may still grant the request, which would take capacity from other requests until the grant expires.
        this.createGrant({ ...pending, grantId }, pending.ownerId, 0).report("not-run");
        pending.handleOutcome({ kind: "unanswered" });
    }

    private createRequest(
        { target, head, copiedTokens, ...demand }: GrantDemand,
        isUnconditional: boolean,
    ): GrantRequest {
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
            isUnconditional,
        };
    }

    private createOutcome(
        reply: GrantReply,
        request: Pick<PendingDemand, "targetHash" | "speed">,
        ownerId: string,
    ): GrantOutcome {
        if (!reply.isTargetKnown) {
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
        { grantId, targetHash, speed }: Pick<GrantRequest, "grantId" | "targetHash"> & Pick<PendingDemand, "speed">,
        ownerId: string,
        usage: number,
    ): Grant {
        const { ownId, incarnation, localOwner } = this.options;
        return {
            usage,
            report: progress => {
                const report = { kind: "report", grantId, incarnation, targetHash, progress } as const;
                if (ownerId === ownId) {
                    localOwner.applyReport(ownId, report);
                } else {
                    this.sendReport(ownerId, report, speed);
                }
            },
        };
    }

    /**
     * Sends a report with the engine's slowdown if the owner decodes it. A router of an earlier version drops such a report, and would count
     * the request as running until it expires; an owner that has not shown its version is sent the report without the slowdown, and once in
     * a while a second time with it.
     */
    private sendReport(ownerId: string, report: GrantReport, speed: EngineSpeed): void {
        const { transport, clock } = this.options;
        const nowMs = clock.nowMs();
        const slowdown = report.progress === "not-run" ? undefined : speed.findRecentSlowdown(nowMs);
        if (slowdown !== undefined && this.decodingOwners.has(ownerId)) {
            transport.send(ownerId, { ...report, slowdown });
            return;
        }
        transport.send(ownerId, report);
        const probedAtMs = this.probedAtMs.get(ownerId) ?? Number.NEGATIVE_INFINITY;
        if (slowdown !== undefined && report.progress === "started" && nowMs - probedAtMs >= probePeriodMs) {
            this.probedAtMs.set(ownerId, nowMs);
            transport.send(ownerId, { ...report, slowdown });
        }
    }
}
