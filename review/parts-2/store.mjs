// Stand-in for the platform's store, as PROTOCOL.md describes it: keyed topics of one partition, in memory.
import { createServer } from "node:http";

const answerMs = 4;

export class Store {
    topics = new Map();
    era = 1;
    /** "up", "busy" (503 to all calls), "silent" (no answer) or "reset". */
    condition = "up";
    server = createServer((request, response) => this.accept(request, response));

    async start(ip) {
        await new Promise(resolve => this.server.listen(0, ip, resolve));
        this.address = `${ip}:${this.server.address().port}`;
    }

    stop() {
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Writes a record; a value of undefined drops the key. */
    write(name, key, value) {
        const topic = this.open(name);
        const keyBytes = Buffer.from(key);
        const data = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
        topic.records.push(Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, data]));
        if (data.length === 0) {
            topic.newest.delete(key);
        } else {
            topic.newest.set(key, { value: data, offset: topic.records.length - 1 });
        }
        [...topic.waiting].forEach(wake => wake());
    }

    open(name) {
        let topic = this.topics.get(name);
        if (topic === undefined) {
            topic = { records: [], newest: new Map(), waiting: new Set() };
            this.topics.set(name, topic);
        }
        return topic;
    }

    accept(request, response) {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("error", () => undefined);
        request.on("end", () => setTimeout(() => this.answer(request, response, Buffer.concat(chunks)), answerMs));
    }

    answer(request, response, body) {
        if (this.condition === "silent") {
            return;
        }
        if (this.condition === "reset") {
            request.socket.resetAndDestroy();
            return;
        }
        if (this.condition === "busy") {
            response.writeHead(503).end();
            return;
        }
        response.setHeader("Store-Era", String(this.era));
        const url = new URL(request.url, "http://store");
        const name = url.searchParams.get("topic");
        const topic = this.open(name);
        if (url.pathname === "/api/log-newest") {
            this.answerNewest(topic, response);
        } else if (url.pathname === "/api/log-read") {
            const waitMs = Number(url.searchParams.get("wait_ms") ?? 0);
            this.answerRead(topic, Number(url.searchParams.get("from")), waitMs, response);
        } else if (url.pathname === "/api/log-append") {
            this.answerAppend(name, url.searchParams.get("at"), body, response);
        } else {
            response.writeHead(404).end();
        }
    }

    answerNewest(topic, response) {
        const entries = [...topic.newest].map(([key, { value, offset }]) => {
            return { key, value: value.toString("base64"), offset };
        });
        response.setHeader("content-type", "application/json");
        response.end(JSON.stringify({ entries, end_offset: topic.records.length }));
    }

    answerRead(topic, from, waitMs, response) {
        if (from > topic.records.length) {
            response.writeHead(410, { "content-type": "application/json" }).end(JSON.stringify({ first_offset: 0 }));
            return;
        }
        const finish = () => {
            topic.waiting.delete(finish);
            clearTimeout(timer);
            if (this.condition === "silent") {
                return;
            }
            const head = Buffer.alloc(16);
            head.writeBigUInt64BE(BigInt(topic.records.length), 0);
            const parts = topic.records.slice(from).flatMap(record => {
                const length = Buffer.alloc(4);
                length.writeUInt32BE(record.length);
                return [length, record];
            });
            response.end(Buffer.concat([head, ...parts]));
        };
        const timer = setTimeout(finish, waitMs);
        if (from < topic.records.length) {
            finish();
        } else {
            topic.waiting.add(finish);
        }
    }

    answerAppend(name, at, body, response) {
        const topic = this.open(name);
        const end = topic.records.length;
        response.setHeader("content-type", "application/json");
        if (at !== null && Number(at) !== end) {
            response.writeHead(412).end(JSON.stringify({ end_offset: end }));
            return;
        }
        for (let position = 0; position < body.length;) {
            const record = body.subarray(position + 4, position + 4 + body.readUInt32BE(position));
            position += 4 + record.length;
            const key = record.subarray(1, 1 + record[0]).toString();
            const value = record.subarray(1 + record[0]);
            this.write(name, key, value.length === 0 ? undefined : JSON.parse(value.toString()));
        }
        response.end(JSON.stringify({ offset: end, end_offset: topic.records.length }));
    }
}
