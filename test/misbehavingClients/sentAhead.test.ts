import { afterEach, beforeAll, beforeEach, describe, expect, it } from "vitest";
import { host } from "../gateway/gatewayFixture.js";
import { ClientCrowd } from "./clientCrowd.js";
import { buildRouter, RouterFixture, soundCondition, type RouterPort } from "./routerFixture.js";

const clientCount = 48;
const bytesPerClient = 4_194_304;

interface Form {
    readonly name: string;
    readonly port: RouterPort;
    readonly request: string;
}

const forms: readonly Form[] = [
    { name: "without the usual headers", port: "callers", request: createRequest("/plan/1") },
    { name: "at the readiness path", port: "readiness", request: createRequest("/api/readyz") },
    { name: "at paths that no route has", port: "callers", request: createRequest("/nowhere/1") },
    { name: "at the readiness path on the callers' port", port: "callers", request: createRequest("/api/readyz") },
    { name: "to the control port", port: "control", request: createRequest("/nowhere") },
    { name: "to the metrics port", port: "metrics", request: createRequest("/nowhere") },
    { name: "for the metrics page", port: "metrics", request: createRequest("/metrics") },
    {
        name: "that are passed on to a target",
        port: "callers",
        request: createRequest("/find/1", "x-lynxarch-attempt-id: a1\r\n"),
    },
];

function createRequest(path: string, headers = ""): string {
    return `GET ${path} HTTP/1.1\r\nHost: ${host}\r\n${headers}\r\n`;
}

let router: RouterFixture;
let crowd: ClientCrowd;

beforeAll(() => buildRouter());

beforeEach(async () => {
    router = await RouterFixture.start();
});

afterEach(() => {
    crowd.dispose();
    router.dispose();
});

describe("a router whose clients send requests ahead and leave the answers unread", () => {
    // Guards against requests that are held in memory faster than their answers are read.
    it.each(forms)("lives and serves others: requests $name", async ({ port, request }) => {
        crowd = new ClientCrowd(router.ports[port]);
        await crowd.run(clientCount, { repeated: request, bytesPerClient, readsAnswers: false });
        expect(await router.checkCondition()).toEqual(soundCondition);
    });
});

describe("a router whose clients send requests ahead and read the answers", () => {
    // Guards against clients that take all of the router's processor time and memory by sending faster than it answers.
    it.each(forms)("lives and serves others: requests $name", async ({ port, request }) => {
        crowd = new ClientCrowd(router.ports[port]);
        await crowd.run(clientCount, { repeated: request, bytesPerClient, readsAnswers: true });
        expect(await router.checkCondition()).toEqual(soundCondition);
    });
});
