// What all cases share: the record, the exit code, requests of clients, and the ends of the processes that a case started.
import { request as openRequest } from "node:http";
import { writeFileSync } from "node:fs";
import { join } from "node:path";

/** Whether the case plays its disruption. */
export const isTroubled = process.env.TROUBLE !== "0";
const maxCaseMs = 115_000;

/** Lines of what was sent, answered and run; written to record.txt at the end. */
export class Record {
    lines = [];
    startedAtMs = performance.now();

    add(text) {
        this.lines.push(`${((performance.now() - this.startedAtMs) / 1000).toFixed(3).padStart(8)} ${text}`);
    }

    say(text) {
        this.add(text);
        console.log(text);
    }
}

/**
 * Runs a case: `play` gets the record and a function that registers what must be stopped at the end, and returns whether the rule was
 * broken. Exits with 1 if it was, 0 if it held, and 2 if the case could not run.
 */
export async function runCase(folder, play) {
    const record = new Record();
    const stops = [];
    const finish = async code => {
        for (const stop of stops.reverse()) {
            await stop();
        }
        writeFileSync(join(folder, "record.txt"), `${record.lines.join("\n")}\n`);
        process.exit(code);
    };
    // Without these, an error outside of the play would exit with 1, and a signal would leave processes behind.
    const abandon = reason => {
        record.say(`the case was ended: ${reason instanceof Error ? reason.stack : reason}`);
        void finish(2);
    };
    process.on("uncaughtException", abandon);
    process.on("unhandledRejection", abandon);
    process.on("SIGTERM", abandon);
    process.on("SIGINT", abandon);
    setTimeout(() => {
        record.say("the case took too long");
        void finish(2);
    }, maxCaseMs);
    try {
        record.say(`TROUBLE=${isTroubled ? 1 : 0}`);
        const isBroken = await play(record, stop => stops.push(stop));
        record.say(isBroken ? "the rule was broken" : "the rule held");
        await finish(isBroken ? 1 : 0);
    } catch (error) {
        record.say(`the case could not run: ${error.stack}`);
        await finish(2);
    }
}

/**
 * Sends a request of a client, and reads its answer. `readRate`: bytes a second at which the answer is read; undefined: as fast as it
 * comes. The outcome: "whole" (a complete answer with its status), "cut" (the channel ended within an answer), "closed" (the channel ended
 * without one), or "unread" (no channel could be opened).
 */
export function send({ ip, port, path, method = "POST", headers, body, agent = false, readRate, timeoutMs = 15_000 }) {
    return new Promise(resolve => {
        const sentAtMs = performance.now();
        let answer;
        let bytes = 0;
        let wasConnected = false;
        const chunks = [];
        const finish = (kind, detail = "") => {
            clearTimeout(timer);
            const tookMs = Math.round(performance.now() - sentAtMs);
            const { statusCode: status, headers: answerHeaders = {} } = answer ?? {};
            resolve({ kind, detail, status, headers: answerHeaders, bytes, body: Buffer.concat(chunks), tookMs });
        };
        const request = openRequest({ host: ip, port, path, method, headers, agent });
        const timer = setTimeout(() => request.destroy(new Error("the client gave up")), timeoutMs);
        request.on("socket", socket => {
            wasConnected ||= !socket.connecting;
            socket.once("connect", () => (wasConnected = true));
        });
        request.on("response", response => {
            answer = response;
            response.on("data", data => {
                bytes += data.length;
                if (bytes <= 65_536) {
                    chunks.push(data);
                }
                if (readRate !== undefined) {
                    response.pause();
                    setTimeout(() => response.resume(), (data.length / readRate) * 1000);
                }
            });
            response.on("end", () => finish(response.complete ? "whole" : "cut"));
            response.on("error", error => finish("cut", error.code ?? error.message));
        });
        request.on("error", error => finish(wasConnected ? "closed" : "unread", error.code ?? error.message));
        request.end(body);
    });
}

/** Counts values by a key. */
export function countBy(values, getKey) {
    const counts = {};
    for (const value of values) {
        const key = getKey(value);
        counts[key] = (counts[key] ?? 0) + 1;
    }
    return counts;
}
