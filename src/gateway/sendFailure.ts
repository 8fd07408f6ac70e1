import type { ServerResponse } from "node:http";
import { createRouterResponse } from "./routerResponse.js";

/**
 * Ends a response after an exception: with an error if nothing has been sent, otherwise truncated visibly. Closes the connection, as the
 * request's body may be unread. `ownHeaders`: headers that identify the request.
 */
export function sendFailure(response: ServerResponse, ownHeaders: Readonly<Record<string, string>>): void {
    if (response.writableEnded) {
        return;
    }
    if (response.headersSent) {
        response.destroy();
        return;
    }
    const { status, headers, body } = createRouterResponse("router-failed", undefined);
    const length = String(Buffer.byteLength(body));
    response.writeHead(status, { ...headers, ...ownHeaders, "content-length": length, connection: "close" });
    response.end(body);
}
