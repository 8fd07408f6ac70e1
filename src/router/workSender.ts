import { Agent, request } from "undici";
import { AbortScope, type CancellationToken } from "../base/cancellation.js";
import type { Clock } from "../base/clock.js";
import type { Disposable } from "../base/lifecycle.js";
import { encodeWorkClaim } from "../control/answerReport.js";
import { envelopeHeader, workFrameSchema, workPath, type WorkEnvelope, type WorkFrame } from "../control/frames.js";
import { LineSplitter } from "../control/lines.js";
import { toAuthorization } from "../control/secret.js";
import type { EventRing } from "../events/eventRing.js";
import type { Execution, ServiceCounter } from "../fleet/entities.js";
import type { OpenRequest } from "./openRequest.js";

const connectTimeoutMs = 1_000;
/** Codes of connections that were never made: the agent cannot have seen the request. */
const unreachedCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/** Takes the frames of one try, in order and at its own speed. */
export type FrameTaker = (frame: WorkFrame) => Promise<void>;

/** How a try ended without a last frame. */
export interface BrokenTry {
    readonly execution: Execution;
    readonly detail: string;
}

/** Frames after which nothing follows. */
const lastFrames: ReadonlySet<WorkFrame["type"]> = new Set(["end", "failed", "refused", "withdrawn", "delegated"]);

/** Knows what other agents gave an account. */
export interface ClaimSource {
    findClaim(agentId: string, service: string, clientAccount: string): ServiceCounter | undefined;
}

/** Sends requests to agents and reads the frames of their answers. */
export class WorkSender implements Disposable {
    private readonly connections = new Agent({
        connect: { timeout: connectTimeoutMs },
        headersTimeout: 0,
        bodyTimeout: 0,
        pipelining: 1,
    });

    public constructor(
        private readonly routerId: string,
        private readonly secret: string,
        private readonly clock: Clock,
        private readonly events: EventRing,
        private readonly claims: ClaimSource,
    ) {}

    /** One try. Undefined when a last frame came; else what is known of the try. Never rejects. */
    public async send(
        open: OpenRequest,
        attempt: number,
        agent: { readonly id: string; readonly address: string },
        take: FrameTaker,
        token: CancellationToken,
    ): Promise<BrokenTry | undefined> {
        const scope = new AbortScope(token);
        try {
            const response = await request(`http://${agent.address}${workPath}`, {
                method: "POST",
                headers: {
                    authorization: toAuthorization(this.secret),
                    "content-type": "application/octet-stream",
                    [envelopeHeader]: encodeEnvelope(this.createEnvelope(open, attempt, agent.id)),
                },
                body: open.body,
                dispatcher: this.connections,
                signal: scope.signal,
            });
            if (response.statusCode !== 200) {
                await response.body.dump();
                return { execution: "not-run", detail: `the agent answered ${response.statusCode}` };
            }
            const isWhole = await readFrames(response.body, take, this.events);
            return isWhole ? undefined : { execution: "unknown", detail: "the agent's answer broke off" };
        } catch (cause) {
            return toBrokenTry(cause);
        } finally {
            scope.dispose();
        }
    }

    public dispose(): void {
        void this.connections.destroy();
    }

    private createEnvelope(open: OpenRequest, attempt: number, agentId: string): WorkEnvelope {
        const { work, call } = open;
        const claim = this.claims.findClaim(agentId, work.service, work.clientAccount);
        return {
            requestId: createAttemptId(work.id, attempt),
            routerId: this.routerId,
            attempt,
            time: this.events.now(),
            claim: claim === undefined ? undefined : encodeWorkClaim(claim),
            clientAccount: work.clientAccount,
            service: work.service,
            kind: work.kind,
            idempotent: work.idempotent,
            idempotencyKey: open.delegatedKey ?? work.idempotencyKey,
            delegateKey: open.delegateKey,
            remainingMs: work.deadlineAtMs - this.clock.nowMs(),
            promptTokens: work.promptTokens,
            maxTokens: work.maxTokens,
            prefixHash: work.prefixHash,
            method: call?.method,
            path: call?.path,
            headers: call === undefined ? undefined : { ...call.headers },
        };
    }
}

/**
 * Name of one try on its way to an agent. Each try has its own, so that a late message about an earlier try at the same
 * agent can never be taken for one about a later try. The first try keeps the request's id.
 */
export function createAttemptId(requestId: string, attempt: number): string {
    return attempt === 1 ? requestId : `${requestId}~${attempt}`;
}

async function readFrames(body: AsyncIterable<Buffer>, take: FrameTaker, events: EventRing): Promise<boolean> {
    const splitter = new LineSplitter();
    for await (const bytes of body) {
        for (const line of splitter.add(bytes)) {
            const frame = workFrameSchema.parse(JSON.parse(line));
            if (frame.type === "end" && frame.time !== undefined) {
                events.merge(frame.time);
            }
            await take(frame);
            if (lastFrames.has(frame.type)) {
                return true;
            }
        }
    }
    return false;
}

function encodeEnvelope(envelope: WorkEnvelope): string {
    return Buffer.from(JSON.stringify(envelope)).toString("base64url");
}

function toBrokenTry(cause: unknown): BrokenTry {
    const { code, message } = cause as { code?: string; message?: string };
    const unreached = code !== undefined && unreachedCodes.has(code);
    return { execution: unreached ? "not-run" : "unknown", detail: message ?? String(cause) };
}
