import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { callerProblems } from "./callerProblems.js";
import type { Problem } from "./problem.js";

/** Reads a caller's body. Errors: larger than the limit (without reading on), or cut. */
export async function readCallerBody(incoming: IncomingMessage, maxBytes: number): Promise<Result<Buffer, Problem>> {
    if (Number(incoming.headers["content-length"] ?? "0") > maxBytes) {
        return err(callerProblems.createBodyTooLarge(maxBytes));
    }
    const parts: Buffer[] = [];
    let size = 0;
    try {
        for await (const part of incoming.iterator({ destroyOnReturn: false })) {
            size += (part as Buffer).length;
            if (size > maxBytes) {
                return err(callerProblems.createBodyTooLarge(maxBytes));
            }
            parts.push(part as Buffer);
        }
        return ok(Buffer.concat(parts));
    } catch {
        return err(callerProblems.bodyCut);
    }
}
