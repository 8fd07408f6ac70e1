import { BufferedResponseRelay } from "./bufferedResponseRelay.js";
import type { CallerExchange } from "./callerExchange.js";
import { EventStreamRelay } from "./eventStreamRelay.js";
import type { ResponseRelay } from "./responseRelay.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { HeaderCodec } from "./wire.js";

/** Creates the relay for the response to a request, by the kind of its route. */
export function createResponseRelay(
    caller: CallerExchange,
    codec: HeaderCodec,
    { route, head }: Pick<RoutedRequest, "route" | "head">,
): ResponseRelay {
    return route.kind === "stream"
        ? new EventStreamRelay(caller, codec, route.isResumable, head.lastEventId, head.maxOutputTokens)
        : new BufferedResponseRelay(caller, codec, head.lastEventId);
}
