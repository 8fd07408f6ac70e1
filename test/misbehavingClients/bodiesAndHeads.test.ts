import { connect } from "node:net";
import { afterEach, beforeAll, beforeEach, describe, expect, it } from "vitest";
import { host } from "../gateway/gatewayFixture.js";
import { ClientCrowd, type ClientBehaviour } from "./clientCrowd.js";
import { buildRouter, limits, maxBodyBytes, RouterFixture, soundCondition, type RouterPort } from "./routerFixture.js";

const clientCount = 48;
const hostHeader = `Host: ${host}\r\n`;
const chunkedHead = `POST /book/1 HTTP/1.1\r\n${hostHeader}x-lynxarch-attempt-id: a1\r\nTransfer-Encoding: chunked\r\n\r\n`;
const tinyChunk = "1\r\nx\r\n";

interface Form {
    readonly name: string;
    readonly clients: number;
    readonly behaviour: Pick<ClientBehaviour, "opening" | "repeated" | "bytesPerClient">;
}

const forms: readonly Form[] = [
    {
        name: "one body without end in chunks of one byte",
        clients: 1,
        behaviour: { opening: chunkedHead, repeated: tinyChunk, bytesPerClient: 8_388_608 },
    },
    {
        name: "bodies in chunks of one byte that are never complete",
        clients: clientCount,
        behaviour: { opening: chunkedHead, repeated: tinyChunk, bytesPerClient: 720_000 },
    },
    {
        name: "heads that are never complete, with many small headers",
        clients: clientCount,
        behaviour: { opening: `GET /book/1 HTTP/1.1\r\n${hostHeader}`, repeated: "a:b\r\n", bytesPerClient: 60_000 },
    },
    {
        name: "empty lines",
        clients: clientCount,
        behaviour: { repeated: "\r\n", bytesPerClient: 4_194_304 },
    },
    {
        name: "requests that offer an upgrade",
        clients: clientCount,
        behaviour: {
            repeated: `GET /nowhere/1 HTTP/1.1\r\n${hostHeader}Connection: upgrade\r\nUpgrade: h2c\r\n\r\n`,
            bytesPerClient: 4_194_304,
        },
    },
    {
        name: "requests that expect to be continued",
        clients: clientCount,
        behaviour: {
            repeated: `GET /nowhere/1 HTTP/1.1\r\n${hostHeader}Expect: 100-continue\r\n\r\n`,
            bytesPerClient: 4_194_304,
        },
    },
    {
        name: "requests with an expectation that is not known",
        clients: clientCount,
        behaviour: {
            repeated: `GET /nowhere/1 HTTP/1.1\r\n${hostHeader}Expect: something\r\n\r\n`,
            bytesPerClient: 4_194_304,
        },
    },
];

let router: RouterFixture;
let crowd: ClientCrowd;

beforeAll(() => buildRouter());

beforeEach(async () => {
    router = await RouterFixture.start();
    crowd = new ClientCrowd(router.ports.callers);
});

afterEach(() => {
    crowd.dispose();
    router.dispose();
});

describe("a router whose clients send what costs more than it weighs", () => {
    // Guards against memory and processor time that grow with the number of pieces in place of their bytes.
    it.each(forms)("lives and serves others: $name", async ({ clients, behaviour }) => {
        await crowd.run(clients, { ...behaviour, readsAnswers: false });
        expect(await router.checkCondition()).toEqual(soundCondition);
    });
});

describe("a router with more connections than it has descriptors for", () => {
    const ports: readonly RouterPort[] = ["callers", "readiness", "control", "metrics"];

    // Guards against connections without a request that take the places of ordinary callers and of the router's own connections.
    it.each(ports)("lives and serves others: silent connections to the %s port", async port => {
        crowd = new ClientCrowd(router.ports[port]);
        await crowd.run(2 * limits.maxDescriptors, { repeated: "", bytesPerClient: 0, readsAnswers: false });
        expect(await router.checkCondition()).toEqual(soundCondition);
    });

    // Guards against connections that were used once and are kept until their idle time-out.
    it("lives and serves others: connections that are idle after a request", async () => {
        const opening = `GET /nowhere/1 HTTP/1.1\r\n${hostHeader}\r\n`;
        await crowd.run(2 * limits.maxDescriptors, { opening, repeated: "", bytesPerClient: 0, readsAnswers: true });
        expect(await router.checkCondition()).toEqual(soundCondition);
    });
});

describe("a single client inside the limits", () => {
    // Guards against limits on the number of pieces: a body's size alone is limited.
    it("has a body of the maximum size served in chunks of one byte", async () => {
        const head = chunkedHead.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
        const answer = await router.sendRaw(Buffer.from(`${head}${tinyChunk.repeat(maxBodyBytes)}0\r\n\r\n`));
        expect(answer.split("\r\n")[0]).toBe("HTTP/1.1 200 OK");
        expect(router.target.received.at(-1)?.body.length).toBe(maxBodyBytes);
        expect(await router.checkCondition()).toEqual(soundCondition);
    });

    it("has a request served that arrives byte by byte", async () => {
        const request = `POST /book/1 HTTP/1.1\r\n${hostHeader}x-lynxarch-attempt-id: b1\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc`;
        const socket = connect(router.ports.callers, "127.0.0.1").setNoDelay();
        let answer = "";
        socket.on("data", (data: Buffer) => (answer += data.toString()));
        const closed = new Promise(resolve => socket.once("close", resolve));
        for (const byte of request) {
            socket.write(byte);
            await new Promise(resolve => setImmediate(resolve));
        }
        await closed;
        expect(answer.split("\r\n")[0]).toBe("HTTP/1.1 200 OK");
    });

    // Guards against requests sent ahead that are lost, or answered in another order.
    it("has requests sent ahead answered in their order, with and without bodies", async () => {
        const requests = [...Array(8).keys()].map(index => {
            const isLast = index === 7;
            const head = `POST /book/${index} HTTP/1.1\r\n${hostHeader}x-lynxarch-attempt-id: ahead-${index}\r\n`;
            const close = isLast ? "Connection: close\r\n" : "";
            return index % 2 === 0
                ? `${head}${close}Content-Length: 8\r\n\r\n\r\n\r\n\r\n\r\n`
                : `${head}${close}Transfer-Encoding: chunked\r\n\r\n4\r\n\r\n\r\n\r\n0\r\n\r\n`;
        });
        const answer = await router.sendRaw(Buffer.from(requests.join("")));
        const ids = [...answer.matchAll(/x-lynxarch-attempt-id: (ahead-\d)/gi)].map(([, id]) => id);
        expect(ids).toEqual([...Array(8).keys()].map(index => `ahead-${index}`));
        expect(answer.match(/HTTP\/1.1 200 OK/g)?.length).toBe(8);
    });
});
