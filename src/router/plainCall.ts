import type { IncomingHttpHeaders } from "node:http";
import type { Service } from "../document/schema.js";
import type { PlainCall } from "./openRequest.js";

/** Headers that end here: those of the connection (RFC 9110, section 7.6.1) and the caller's credentials. */
const heldBackHeaders = new Set([
    "authorization",
    "connection",
    "content-length",
    "cookie",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
]);
/** Methods that do no harm when repeated (RFC 9110, section 9.2.2). */
const idempotentMethods = new Set(["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"]);
/** Most bytes of headers that are passed on; the envelope must fit the HTTP parser's own limit of 16 KiB. */
export const maxHeaderBytes = 6_144;

/** How a call may be repeated. */
export type CallSafety =
    /** Running it twice does no harm. */
    | "idempotent"
    /** It may run only once, and the document demands a key for it. */
    | "key-required"
    /** It may run only once; with a key it can be asked for again, without one it is tried once. */
    | "once";

/** Whether a path means the same to the router, which judges it, and to the target, which serves it. */
export function isPlainPath(path: string): boolean {
    // `/a/../seat` is judged as `/a/...` here and served as `/seat` there: a call that may not be repeated would pass for
    // one that may. Such paths are refused; no client library sends them, as they resolve dot segments themselves.
    const [pathname] = path.split("?", 1);
    const segments = pathname.split("/").map(segment => segment.replace(/%2e/gi, "."));
    return pathname.startsWith("/") && !/[\\]|^\/\/|%2f|%5c/i.test(pathname) && !segments.some(isDotSegment);
}

function isDotSegment(segment: string): boolean {
    return segment === "." || segment === "..";
}

/** The call as it goes to the target. Undefined when its headers are too large. */
export function createPlainCall(
    method: string,
    path: string,
    headers: IncomingHttpHeaders,
    clientAccount: string,
): PlainCall | undefined {
    const passed = Object.entries(headers).flatMap(([name, value]) =>
        value === undefined || heldBackHeaders.has(name)
            ? []
            : [[name, Array.isArray(value) ? value.join(", ") : value] as const],
    );
    const size = passed.reduce((sum, [name, value]) => sum + name.length + value.length, path.length);
    if (size > maxHeaderBytes) {
        return undefined;
    }
    return { method, path, headers: { ...Object.fromEntries(passed), "x-client-account": clientAccount } };
}

/** Whether the document marks the call, or its method says by itself, that it must not run twice. */
export function checkSafety(service: Service, method: string, path: string): CallSafety {
    const pathname = path.split("?", 1)[0];
    if (service.nonIdempotent.some(rule => rule.method === method && pathname.startsWith(rule.pathPrefix))) {
        return "key-required";
    }
    return idempotentMethods.has(method) ? "idempotent" : "once";
}
