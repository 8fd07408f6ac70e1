import { ResultAsync } from "neverthrow";
import type { CancellationToken } from "../base/cancellation.js";
import type { WorkEnvelope } from "../control/frames.js";
import type { TargetError } from "./targetClient.js";
import { type RunSink, type RunUsage, type TargetClient, type TargetLoad } from "./targetClient.js";
import { toTargetError, type TargetConnection } from "./targetConnection.js";

/** Headers that belong to one connection and are not passed on (RFC 9110, section 7.6.1). */
const connectionHeaders = new Set(["connection", "keep-alive", "transfer-encoding", "upgrade", "te", "trailer"]);

/** Speaks to a plain HTTP service. */
export class PlainTargetClient implements TargetClient {
    public constructor(private readonly connection: TargetConnection) {}

    public run(
        envelope: WorkEnvelope,
        body: Buffer,
        sink: RunSink,
        token: CancellationToken,
    ): ResultAsync<RunUsage, TargetError> {
        let hasOutput = false;
        const call = async (): Promise<RunUsage> => {
            const response = await this.connection.send(
                envelope.path ?? "/",
                {
                    method: envelope.method ?? "GET",
                    headers: { ...envelope.headers, "x-request-id": envelope.requestId },
                    body: body.length > 0 ? body : undefined,
                },
                token,
            );
            hasOutput = true;
            await sink.writeHead(response.statusCode, toHeaders(response.headers));
            for await (const bytes of response.body) {
                await sink.writeChunk((bytes as Buffer).toString("base64"), 0);
            }
            return { promptTokens: 0, generatedTokens: 0 };
        };
        return ResultAsync.fromPromise(call(), cause => toTargetError(cause, hasOutput));
    }

    public fetchLoad(token: CancellationToken): ResultAsync<TargetLoad | undefined, TargetError> {
        return ResultAsync.fromPromise(this.connection.fetchLoad(token), cause => toTargetError(cause, false));
    }
}

function toHeaders(headers: Record<string, string | string[] | undefined>): Readonly<Record<string, string>> {
    const entries = Object.entries(headers).flatMap(([name, value]) =>
        value === undefined || connectionHeaders.has(name)
            ? []
            : [[name, Array.isArray(value) ? value.join(", ") : value] as const],
    );
    return Object.fromEntries(entries);
}
