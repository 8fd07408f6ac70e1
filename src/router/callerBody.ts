import type { IncomingMessage, ServerResponse } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { BlockBuffer } from "../base/blockBuffer.js";
import type { BodyBudget } from "../decisions/limits/bodyBudget.js";
import { callerProblems } from "./callerProblems.js";
import type { Problem } from "./problem.js";

/** Limits for reading a body. */
export interface CallerBodyLimits {
    readonly maxBytes: number;
    /** Holds the body's memory until the response is complete or its connection is closed. */
    readonly budget: BodyBudget;
}

/** Reads a caller's body. Errors: larger than the limit (without reading on), no memory for it, or cut. */
export async function readCallerBody(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    { maxBytes, budget }: CallerBodyLimits,
): Promise<Result<Buffer, Problem>> {
    if (Number(incoming.headers["content-length"] ?? "0") > maxBytes) {
        return err(callerProblems.createBodyTooLarge(maxBytes));
    }
    const body = new BlockBuffer();
    let takenBytes = 0;
    const release = (): void => {
        budget.release(takenBytes);
        takenBytes = 0;
    };
    outgoing.once("close", release);
    try {
        for await (const part of incoming.iterator({ destroyOnReturn: false })) {
            const { length } = part as Buffer;
            if (body.length + length > maxBytes) {
                return err(callerProblems.createBodyTooLarge(maxBytes));
            }
            takenBytes += length;
            if (!budget.take(length)) {
                return err(callerProblems.busy);
            }
            body.add(part as Buffer);
        }
        return ok(body.take());
    } catch {
        return err(callerProblems.bodyCut);
    } finally {
        if (outgoing.destroyed) {
            release();
        }
    }
}
