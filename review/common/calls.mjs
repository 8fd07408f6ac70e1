/** Clients that send one request after the other over a kept channel. */
import { Agent, request as sendRequest } from "node:http";
import { sleep } from "./routers.mjs";

export const host = "site.example";

/** Sends a request; resolves to its id, when it was sent, and its status or how its channel ended. */
export function call({ ip, callersPort }, agent, id, path, { key, body = Buffer.from("{}"), budgetMs = 3_000 } = {}) {
    const sentAtMs = performance.now();
    return new Promise(resolve => {
        const end = fields =>
            resolve({ id, path, sentAtMs, tookMs: Math.round(performance.now() - sentAtMs), ...fields });
        const headers = {
            Host: host,
            "X-Lynxarch-Attempt-Id": id,
            "X-Lynxarch-Deadline-Ms": String(budgetMs),
            "Content-Length": String(body.length),
        };
        const outgoing = sendRequest(
            {
                host: ip,
                port: callersPort,
                agent,
                method: "POST",
                path,
                headers: key === undefined ? headers : { ...headers, Authorization: `Bearer ${key}` },
            },
            response => {
                let text = "";
                response.on("data", data => (text += data));
                response.on("end", () => end({ status: response.statusCode, text }));
                response.on("error", error => end({ error: error.code }));
            },
        );
        outgoing.on("error", error => end({ error: error.code }));
        outgoing.end(body);
    });
}

/** Sends requests over one kept channel until `isOver` says so, each to the next of the paths. */
export async function runClient(router, name, paths, isOver, seen, pauseMs) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let count = 0; !isOver(); count++) {
        seen.push(await call(router, agent, `${name}-${count}`, paths[count % paths.length]));
        await sleep(pauseMs);
    }
    agent.destroy();
}
