import { createParser } from "eventsource-parser";
import OpenAI from "openai";
import { buildAnswerTokens } from "./engine/engineRun.js";
import { waitUntil } from "./processes.js";
import { modelService, plainService, testAccounts } from "./fleetDocument.js";

/** An account's name in a test fleet. */
export type TestAccount = (typeof testAccounts)[number]["name"];

/** API key of a test account. */
export function getKey(account: TestAccount): string {
    return testAccounts.find(candidate => candidate.name === account)?.key ?? "";
}

/** The unmodified client library, pointed at a router; without its own retries, so that a test sees each answer. */
export function createOpenAi(url: string, account: TestAccount, maxRetries = 0): OpenAI {
    return new OpenAI({ baseURL: `${url}/v1`, apiKey: getKey(account), maxRetries });
}

/** The whole answer that the stand-in engine gives to a prompt. */
export function buildExpectedAnswer(prompt: string, maxTokens?: number): string {
    return buildAnswerTokens(prompt, maxTokens).join("");
}

/** What a caller of the chat API got. */
export interface ChatOutcome {
    readonly prompt: string;
    /** Whether the answer to this very prompt came whole. */
    readonly whole: boolean;
    /** Undefined when no answer began. */
    readonly status: number | undefined;
    readonly requestId: string | undefined;
    /** Set when it failed: the problem's code, `cut` for an answer that visibly broke off, or `silent` for one that
     * ended as if it were whole and was not. */
    readonly failure: string | undefined;
    readonly execution: string | undefined;
}

/** Streams one chat completion; never rejects. `onFirst` is called once when the first text has come. */
export async function sendChat(
    url: string,
    account: TestAccount,
    prompt: string,
    onFirst: () => void = () => undefined,
    timeoutMs = 60_000,
): Promise<ChatOutcome> {
    const seen = { prompt, whole: false, status: undefined, requestId: undefined, execution: undefined };
    try {
        const response = await fetch(`${url}/v1/chat/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${getKey(account)}`, "content-type": "application/json" },
            body: JSON.stringify({ model: modelService, stream: true, messages: [{ role: "user", content: prompt }] }),
            signal: AbortSignal.timeout(timeoutMs),
        });
        const { status } = response;
        const requestId = response.headers.get("x-request-id") ?? undefined;
        if (status !== 200) {
            const problem = (await response.json()) as { execution?: string; error?: { code?: string } };
            const failure = problem.error?.code ?? String(status);
            return { ...seen, status, requestId, failure, execution: problem.execution };
        }
        const { text, ending } = await readChatEvents(response, onFirst);
        const whole = ending === "done" && text === buildExpectedAnswer(prompt);
        const failure = whole ? undefined : ending === "done" || ending === "nothing" ? "silent" : ending;
        return { ...seen, status, requestId, whole, failure };
    } catch (error) {
        const timedOut = error instanceof Error && error.name === "TimeoutError";
        return { ...seen, failure: timedOut ? "timeout" : "unreached" };
    }
}

/** Reads the events of an answer: its text, and whether it ended as promised, with an error, or broken off. */
async function readChatEvents(
    response: Response,
    onFirst: () => void,
): Promise<{ text: string; ending: "done" | "error" | "cut" | "nothing" }> {
    let text = "";
    let ending: "done" | "error" | "nothing" = "nothing";
    const parser = createParser({
        onEvent: ({ data }) => {
            if (data === "[DONE]") {
                ending = ending === "error" ? "error" : "done";
                return;
            }
            const event = JSON.parse(data) as ChatEvent;
            if (event.error !== undefined) {
                ending = "error";
            }
            const content = event.choices?.[0]?.delta?.content ?? "";
            if (text === "" && content !== "") {
                onFirst();
            }
            text += content;
        },
    });
    const decoder = new TextDecoder();
    try {
        for await (const bytes of response.body ?? []) {
            parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }));
        }
    } catch {
        return { text, ending: ending === "nothing" ? "cut" : ending };
    }
    return { text, ending };
}

interface ChatEvent {
    readonly error?: unknown;
    readonly choices?: readonly { readonly delta?: { readonly content?: string } }[];
}

/** What a caller of the plain service got. */
export interface CallOutcome {
    readonly status: number | undefined;
    readonly body: Readonly<Record<string, unknown>>;
    readonly text: string;
}

/** Calls the plain service through a router; never rejects. Status undefined: no whole answer came. */
export async function sendCall(
    url: string,
    account: TestAccount,
    key: string | undefined,
    body = "{}",
    path = "/seats",
    timeoutMs = 60_000,
): Promise<CallOutcome> {
    try {
        const response = await fetch(`${url}/services/${plainService}${path}`, {
            method: "POST",
            headers: {
                authorization: `Bearer ${getKey(account)}`,
                ...(key === undefined ? {} : { "idempotency-key": key }),
            },
            body,
            signal: AbortSignal.timeout(timeoutMs),
        });
        const text = await response.text();
        return { status: response.status, body: JSON.parse(text) as Record<string, unknown>, text };
    } catch (error) {
        return { status: undefined, body: {}, text: String(error) };
    }
}

/** Asks a router for an idempotency key. */
export async function issueKey(url: string, account: TestAccount): Promise<string> {
    const issued = await sendCall(url, account, undefined, "", "/idempotency-keys");
    const { idempotencyKey } = issued.body;
    if (typeof idempotencyKey !== "string") {
        throw new Error(`no key issued: ${issued.status} ${issued.text}`);
    }
    return idempotencyKey;
}

/**
 * Sends a call until it is not turned away as not run. A home that has just joined the roster refuses keys of the
 * callers' own choice for some seconds and says so; sending the same key again is what a caller is told to do.
 */
export function sendUntilRun(url: string, account: TestAccount, key: string, body = "{}"): Promise<CallOutcome> {
    return waitUntil(`the call with key ${key} is taken`, async () => {
        const outcome = await sendCall(url, account, key, body);
        return outcome.body.execution === "not-run" ? undefined : outcome;
    });
}
