import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { hashText } from "../base/hash.js";

/** Rough bytes of prompt text in one token; only a first guess, the charge is corrected by the target's own count. */
const bytesPerToken = 4;
/** Length of the prompt's beginning that decides cache affinity; about a shared system prompt with a roster's head. */
const prefixCharacters = 2_048;

const chatRequestSchema = z.looseObject({
    model: z.string().min(1).max(128),
    messages: z.array(z.looseObject({ role: z.string() })).min(1),
    stream: z.boolean().nullish(),
    stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
    max_tokens: z.number().int().positive().nullish(),
    max_completion_tokens: z.number().int().positive().nullish(),
});

/** What the router needs to know of a chat completion request. */
export interface ModelRequest {
    readonly model: string;
    readonly stream: boolean;
    readonly includeUsage: boolean;
    readonly promptTokens: number;
    readonly maxTokens: number | undefined;
    readonly prefixHash: string;
}

/** Checks a body. Errors: a line that names the first fault. */
export function parseModelRequest(body: Buffer): Result<ModelRequest, string> {
    let value: unknown;
    try {
        value = JSON.parse(body.toString("utf8"));
    } catch {
        return err("the body is no valid JSON");
    }
    const parsed = chatRequestSchema.safeParse(value);
    if (!parsed.success) {
        const [issue] = parsed.error.issues;
        return err(`${issue.path.join(".") || "body"}: ${issue.message}`);
    }
    const request = parsed.data;
    const prompt = JSON.stringify(request.messages);
    return ok({
        model: request.model,
        stream: request.stream ?? false,
        includeUsage: request.stream_options?.include_usage ?? false,
        promptTokens: Math.ceil(prompt.length / bytesPerToken),
        maxTokens: request.max_completion_tokens ?? request.max_tokens ?? undefined,
        prefixHash: hashText(prompt.slice(0, prefixCharacters)).slice(0, 16),
    });
}
