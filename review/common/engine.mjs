/** Stand-in for an engine or a plain service: registers in the store, answers as PROTOCOL.md says. */
import { createServer } from "node:http";

const heartbeatMs = 1_200;

export class Engine {
    /** `answer`: called with the request, its body and the response for each request that runs. */
    constructor({ id, service, zone, store, slots = 64, answer }) {
        Object.assign(this, { id, service, zone, store, slots, answer });
        this.arrivals = [];
        this.born = Date.now();
        this.seqno = 0;
        this.state = "ready";
        this.server = createServer((request, response) => void this.handle(request, response));
        this.server.keepAliveTimeout = 5_000;
    }

    async listen(host, port = 0) {
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, resolve);
        });
        this.address = `${host}:${this.server.address().port}`;
        this.writeEntry();
        this.timer = setInterval(() => this.writeEntry(), heartbeatMs);
        this.firstBeatAtMs = performance.now();
        return this;
    }

    /** Time until it next writes its entry; milliseconds. */
    get nextBeatMs() {
        return heartbeatMs - ((performance.now() - this.firstBeatAtMs) % heartbeatMs);
    }

    writeEntry() {
        const { service, address, zone, slots, state, seqno, born } = this;
        const entry = { service, address, zone, version: "1", slots, state, cold_left_ms: 0, seqno, born };
        return this.store.write("keyed.servers", this.id, entry);
    }

    async handle(request, response) {
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        } catch {
            return;
        }
        const { headers, url } = request;
        const attemptId = headers["x-lynxarch-attempt-id"];
        if (url === "/api/kv-list") {
            response.writeHead(200, { "Content-Type": "application/json" });
            response.end(JSON.stringify({ epoch: 1, next: 0, held: [] }));
            return;
        }
        response.setHeader("X-Lynxarch-Instance-Id", this.id);
        if (url === "/healthz") {
            response.end();
            return;
        }
        if (attemptId !== undefined) {
            response.setHeader("X-Lynxarch-Attempt-Id", attemptId);
        }
        if (this.state === "draining") {
            response.setHeader("Server-Leaving", "1");
        }
        const expected = headers["x-lynxarch-expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { "X-Lynxarch-Not-Executed": "1" }).end();
            return;
        }
        if (attemptId === undefined) {
            response.writeHead(400, { "X-Lynxarch-Not-Executed": "1" }).end();
            return;
        }
        const arrival = { id: attemptId, engine: this.id, atMs: performance.now() };
        this.arrivals.push(arrival);
        response.on("close", () => (arrival.isWhole = response.writableFinished));
        response.setHeader("X-Lynxarch-Engine-Stamp", `stamp.${this.id}.${attemptId}`);
        response.setHeader("X-Lynxarch-Engine-Load", `1,0,${this.slots}`);
        this.answer({ request, response, body: Buffer.concat(chunks), arrival });
    }

    close() {
        clearInterval(this.timer);
        this.server.close();
        this.server.closeAllConnections();
    }
}
