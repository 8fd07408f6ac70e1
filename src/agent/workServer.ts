import type { IncomingMessage, ServerResponse } from "node:http";
import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { Hono } from "hono";
import { err, ok, type Result } from "neverthrow";
import { BlockBuffer } from "../base/blockBuffer.js";
import { envelopeHeader, workEnvelopeSchema, workPath, type WorkEnvelope } from "../control/frames.js";
import { isSameSecret, toAuthorization } from "../control/secret.js";
import type { AnswerFollower } from "./answerFollower.js";
import { FrameWriter } from "./frameWriter.js";

/** Takes requests that routers send. */
export interface WorkTaker {
    takeWork(envelope: WorkEnvelope, body: Buffer, follower: AnswerFollower): void;
    removeFollower(requestId: string, follower: AnswerFollower): void;
}

/** Adds the route by which routers send requests. */
export function addWorkRoute(app: Hono, taker: WorkTaker, secret: string, getMaxBodyBytes: () => number): void {
    const expected = toAuthorization(secret);
    app.post(workPath, async context => {
        if (!isSameSecret(context.req.header("authorization") ?? "", expected)) {
            return context.json({ title: "the shared secret is missing or wrong" }, 401);
        }
        const envelope = parseEnvelope(context.req.header(envelopeHeader));
        if (envelope.isErr()) {
            return context.json({ title: envelope.error }, 400);
        }
        const { incoming, outgoing } = context.env as unknown as HttpBindings;
        const body = await readBody(incoming as IncomingMessage, getMaxBodyBytes());
        if (body === undefined) {
            return context.json({ title: "the body is too large or was cut" }, 413);
        }
        const { requestId } = envelope.value;
        const writer = new FrameWriter(outgoing as ServerResponse, () => taker.removeFollower(requestId, writer));
        taker.takeWork(envelope.value, body, writer);
        return RESPONSE_ALREADY_SENT;
    });
}

function parseEnvelope(header: string | undefined): Result<WorkEnvelope, string> {
    try {
        const text = Buffer.from(header ?? "", "base64url").toString("utf8");
        const parsed = workEnvelopeSchema.safeParse(JSON.parse(text));
        return parsed.success ? ok(parsed.data) : err("the envelope has faults");
    } catch {
        return err("the envelope is no JSON");
    }
}

async function readBody(incoming: IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
    const body = new BlockBuffer();
    try {
        for await (const part of incoming) {
            body.add(part as Buffer);
            if (body.length > maxBytes) {
                return undefined;
            }
        }
    } catch {
        // The router left while it was sending: nothing was offered, so nothing can have run.
        return undefined;
    }
    return body.take();
}
