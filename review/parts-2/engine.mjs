// Stand-in for an engine of a plain service or of model engines, as PROTOCOL.md describes it.
import { createServer } from "node:http";

let starts = 0;

export class Engine {
    received = [];
    /** Requests whose heads came, and those of them that were broken off. */
    heads = 0;
    ids = new Set();
    broken = 0;
    seqno = 1;
    slots = 6;
    /** Milliseconds of work of a plain request. */
    workMs = 60;
    /** Events of a stream, and the pause before each. */
    events = 20;
    pauseMs = 30;
    /** Chooses how to answer a request: "serve" or another form that the case defines with `forms`. */
    choose = () => "serve";
    forms = {};
    /** Bytes a second at which it reads the body of each request; undefined: as fast as it can. */
    readRate = undefined;

    constructor({ id, service, zone = "zone-a", slots = 6 }) {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.stamp = `${id}.${++starts}`;
        this.born = Date.now() - 60_000;
        this.server = createServer((request, response) => this.accept(request, response));
        this.server.keepAliveTimeout = 5_000;
    }

    async start(ip, port = 0) {
        await new Promise(resolve => this.server.listen(port, ip, resolve));
        this.address = `${ip}:${this.server.address().port}`;
    }

    stop() {
        this.server.close();
        this.server.closeAllConnections();
    }

    accept(request, response) {
        const chunks = [];
        this.heads += 1;
        this.ids.add(request.headers["x-lynxarch-attempt-id"]);
        request.on("data", chunk => {
            chunks.push(chunk);
            if (this.readRate !== undefined) {
                request.pause();
                setTimeout(() => request.resume(), (chunk.length / this.readRate) * 1000);
            }
        });
        request.once("close", () => (this.broken += request.complete ? 0 : 1));
        request.on("error", () => undefined);
        request.on("end", () => this.handle(request, response, Buffer.concat(chunks)));
    }

    handle(request, response, body) {
        const id = request.headers["x-lynxarch-attempt-id"];
        if (request.url === "/healthz") {
            response.writeHead(200, { "X-Lynxarch-Instance-Id": this.id }).end();
            return;
        }
        if (request.url === "/api/kv-list") {
            response.writeHead(200, { "content-type": "application/json" });
            response.end(JSON.stringify({ epoch: 1, next: 0, held: [] }));
            return;
        }
        if (id === undefined) {
            response.writeHead(400, { "X-Lynxarch-Not-Executed": "1" }).end();
            return;
        }
        response.setHeader("X-Lynxarch-Attempt-Id", id);
        const expected = request.headers["x-lynxarch-expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { "X-Lynxarch-Instance-Id": this.id }).end();
            return;
        }
        const entry = {
            engine: this.id,
            id,
            method: request.method,
            url: request.url,
            headers: request.headers,
            body: body.toString(),
            atMs: performance.now(),
            ran: false,
            ended: undefined,
        };
        this.received.push(entry);
        response.once("close", () => {
            entry.ended = response.writableFinished ? "answered" : "closed";
            entry.endedAtMs = performance.now();
        });
        const form = this.choose(entry);
        (this.forms[form] ?? this[form]).call(this, entry, request, response);
    }

    serve(entry, request, response) {
        entry.ran = true;
        response.setHeader("X-Lynxarch-Engine-Stamp", this.stamp);
        if (this.service === "model") {
            this.stream(entry, response);
        } else {
            setTimeout(() => response.end(`${entry.id} ${entry.url} `.padEnd(800, ".")), this.workMs);
        }
    }

    stream(entry, response) {
        const from = Number(entry.headers["last-event-id"] ?? 0);
        response.writeHead(200, { "content-type": "text/event-stream" });
        let number = from;
        const next = () => {
            if (response.destroyed) {
                return;
            }
            number += 1;
            if (number > this.events) {
                response.end();
                return;
            }
            response.write(`id: ${number}\ndata: ${entry.url} ${number}/${this.events}\n\n`);
            setTimeout(next, this.pauseMs);
        };
        setTimeout(next, this.pauseMs);
    }

    /** Says that it did not run the request. */
    shed(entry, request, response) {
        response.writeHead(503, { "X-Lynxarch-Not-Executed": "1" }).end();
    }
}
