/** Stand-in for the platform's store: keyed topics with long polls, in memory (PROTOCOL.md, "The platform's metadata store"). */
import { createServer } from "node:http";

const lengthBytes = 4;

export class Store {
    constructor() {
        this.topics = new Map();
        this.era = 1;
        this.server = createServer((request, response) => this.handle(request, response));
        this.server.keepAliveTimeout = 60_000;
    }

    listen(host) {
        return new Promise(resolve =>
            this.server.listen(0, host, () => resolve(`${host}:${this.server.address().port}`)),
        );
    }

    open(name) {
        let topic = this.topics.get(name);
        if (topic === undefined) {
            topic = { records: [], newest: new Map(), waiting: new Set() };
            this.topics.set(name, topic);
        }
        return topic;
    }

    /** Writes a record of a keyed topic; undefined drops the key. */
    write(name, key, value) {
        if (this.isAway) {
            return false;
        }
        const text = value === undefined ? "" : typeof value === "string" ? value : JSON.stringify(value);
        const keyBytes = Buffer.from(key);
        this.add(name, Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(text)]));
        return true;
    }

    /** Number of records of each topic, as a copy holds them. */
    copy() {
        return new Map([...this.topics].map(([name, { records }]) => [name, records.length]));
    }

    /** Is away for a moment and comes back from a copy: what was written since is gone, and its offsets are given out again. */
    async restore(copy, awayMs) {
        this.isAway = true;
        this.server.closeAllConnections();
        await new Promise(resolve => setTimeout(resolve, awayMs));
        for (const [name, topic] of this.topics) {
            const kept = topic.records.slice(0, copy.get(name) ?? 0);
            topic.records.length = 0;
            topic.newest.clear();
            topic.waiting.clear();
            kept.forEach(record => this.add(name, record));
        }
        this.era += 1;
        this.isAway = false;
    }

    add(name, record) {
        const topic = this.open(name);
        topic.records.push(record);
        const keyEnd = 1 + record[0];
        const key = record.subarray(1, keyEnd).toString();
        if (record.length === keyEnd) {
            topic.newest.delete(key);
        } else {
            topic.newest.set(key, { value: record.subarray(keyEnd), offset: topic.records.length - 1 });
        }
        [...topic.waiting].forEach(wake => wake());
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
        if (this.isAway) {
            request.socket.destroy();
            return;
        }
        response.setHeader("Store-Era", String(this.era));
        const url = new URL(request.url, "http://store");
        const name = url.searchParams.get("topic") ?? "";
        const topic = this.open(name);
        if (url.pathname === "/api/log-append") {
            this.answerAppend(name, topic, url.searchParams.get("at"), Buffer.concat(chunks), response);
        } else if (url.pathname === "/api/log-newest") {
            const entries = [...topic.newest].map(([key, { value, offset }]) => ({
                key,
                value: value.toString("base64"),
                offset,
            }));
            sendJson(response, 200, { entries, more_pages: false, end_offset: topic.records.length });
        } else if (url.pathname === "/api/log-read") {
            const from = Number(url.searchParams.get("from"));
            this.answerRead(topic, from, Number(url.searchParams.get("wait_ms") ?? 0), response);
        } else {
            sendJson(response, 404, {});
        }
    }

    answerAppend(name, topic, at, body, response) {
        if (at !== null && Number(at) !== topic.records.length) {
            sendJson(response, 412, { end_offset: topic.records.length });
            return;
        }
        const offset = topic.records.length;
        for (let position = 0; position < body.length;) {
            const start = position + lengthBytes;
            const end = start + body.readUInt32BE(position);
            this.add(name, body.subarray(start, end));
            position = end;
        }
        sendJson(response, 200, { offset, end_offset: topic.records.length });
    }

    answerRead(topic, from, waitMs, response) {
        if (from > topic.records.length) {
            sendJson(response, 410, { first_offset: 0 });
            return;
        }
        const answer = () => {
            topic.waiting.delete(answer);
            clearTimeout(timer);
            const head = Buffer.alloc(16);
            head.writeBigUInt64BE(BigInt(topic.records.length), 0);
            const parts = topic.records.slice(from).flatMap(record => {
                const length = Buffer.alloc(lengthBytes);
                length.writeUInt32BE(record.length);
                return [length, record];
            });
            response.end(Buffer.concat([head, ...parts]));
        };
        const timer = setTimeout(answer, waitMs);
        if (from < topic.records.length) {
            answer();
        } else {
            topic.waiting.add(answer);
        }
    }
}

function sendJson(response, status, value) {
    response.writeHead(status, { "Content-Type": "application/json" });
    response.end(JSON.stringify(value));
}
