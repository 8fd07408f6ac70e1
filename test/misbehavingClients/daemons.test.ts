import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { getKey, sendChat } from "../fakes/callers.js";
import { Fleet, type FleetDaemon } from "../fakes/fleet.js";
import { modelService } from "../fakes/fleetDocument.js";
import { ClientCrowd, type ClientBehaviour } from "./clientCrowd.js";
import { countDescriptors, readPeakMemoryMb } from "./processFigures.js";

const clientCount = 20;
const bytesPerClient = 4_194_304;
const heapMb = 96;
const memoryMb = 280;
const maxDescriptors = 400;
const hostHeader = "Host: fleet\r\n";
const authorization = `Authorization: Bearer ${getKey("club")}\r\n`;
const chatHead = `POST /v1/chat/completions HTTP/1.1\r\n${hostHeader}${authorization}`;
const chatBody = JSON.stringify({ model: modelService, messages: [{ role: "user", content: "Plan. [tokens:2]" }] });

interface Form {
    readonly name: string;
    readonly port: "callers" | "router control" | "agent control";
    readonly behaviour: Omit<ClientBehaviour, "readsAnswers">;
}

function createForm(name: string, port: Form["port"], request: string, opening = ""): Form {
    return { name, port, behaviour: { opening, repeated: request, bytesPerClient } };
}

const forms: readonly Form[] = [
    createForm("requests without the usual headers", "callers", `GET /v1/models HTTP/1.1\r\n${hostHeader}\r\n`),
    createForm("requests at the readiness path", "callers", `GET /readyz HTTP/1.1\r\n${hostHeader}\r\n`),
    createForm("requests at paths that no route has", "callers", `GET /nowhere HTTP/1.1\r\n${hostHeader}\r\n`),
    createForm("requests without a host", "callers", "GET /nowhere HTTP/1.1\r\n\r\n"),
    createForm(
        "requests that are served",
        "callers",
        `${chatHead}Content-Length: ${chatBody.length}\r\n\r\n${chatBody}`,
    ),
    createForm(
        "bodies in chunks of one byte",
        "callers",
        "1\r\nx\r\n",
        `${chatHead}Transfer-Encoding: chunked\r\n\r\n`,
    ),
    createForm("requests to the control port", "router control", `GET /nowhere HTTP/1.1\r\n${hostHeader}\r\n`),
    createForm("requests to the control port", "agent control", `GET /nowhere HTTP/1.1\r\n${hostHeader}\r\n`),
];

let fleet: Fleet;
let crowd: ClientCrowd;

beforeEach(async () => {
    const clientLimits = { heldInputMb: 8, bodiesMb: 32, maxConnections: 100 };
    fleet = new Fleet({
        dataCentres: 1,
        targetsPerDataCentre: 1,
        routers: 1,
        daemonFile: "src/daemon/main.ts",
        daemonSettings: { clientLimits },
        heapMb,
    });
    await fleet.start();
});

afterEach(async () => {
    crowd.dispose();
    await fleet.close();
});

function findPort(port: Form["port"]): { readonly daemon: FleetDaemon; readonly number: number } {
    const daemon = port === "agent control" ? fleet.agents[0] : fleet.getRouter(0);
    const address = port === "callers" ? (daemon.callersUrl ?? "") : daemon.address;
    return { daemon, number: Number(address.split(":").at(-1)) };
}

describe("daemons whose clients send more than they may have served", () => {
    // Guards against memory and event loop time that grow with what clients send, on every port of both kinds of daemons.
    it.each(forms)("live and serve others: $name, $port", async ({ port, behaviour }) => {
        const { daemon, number } = findPort(port);
        crowd = new ClientCrowd(number);
        await crowd.run(clientCount, { ...behaviour, readsAnswers: false });
        const { pid = 0, isRunning } = daemon.process;
        expect({
            isRunning,
            isWithinMemory: isRunning && readPeakMemoryMb(pid) <= memoryMb,
            isWithinDescriptors: isRunning && countDescriptors(pid) <= maxDescriptors,
        }).toEqual({ isRunning: true, isWithinMemory: true, isWithinDescriptors: true });
        const chat = await sendChat(fleet.getRouter(0).callersUrl ?? "", "department", "Where is bus 7? [tokens:5]");
        expect(chat.whole).toBe(true);
    });
});
