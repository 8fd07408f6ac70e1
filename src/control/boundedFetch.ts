import { Agent, fetch as fetchUnbounded } from "undici";

/** All records of the platform of the target size fit several times over; an answer without end must not fill the memory until the call's time is over. */
const mostAnswerBytes = 16_777_216;

const dispatcher = new Agent({ maxResponseSize: mostAnswerBytes });

/** `fetch` for calls to other processes of the system; an answer beyond the bound is an error. */
export const fetchBounded: typeof globalThis.fetch = (input, init) =>
    fetchUnbounded(input as Parameters<typeof fetchUnbounded>[0], {
        ...(init as Parameters<typeof fetchUnbounded>[1]),
        dispatcher,
    }) as unknown as Promise<Response>;
