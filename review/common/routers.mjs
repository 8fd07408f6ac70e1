/** Starts routers with the command of the deploy file, and ends them. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

const root = resolve(fileURLToPath(new URL("../..", import.meta.url)));

export function sleep(ms) {
    return new Promise(done => setTimeout(done, ms));
}

/** A port that is free at the address. */
export function findPort(host) {
    return new Promise((done, fail) => {
        const server = createServer();
        server.once("error", fail);
        server.listen(0, host, () => {
            const { port } = server.address();
            server.close(() => done(port));
        });
    });
}

/** Words of the line `run` of the role in deploy/system.toml. */
function readCommand() {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    return /^run = "(.+)"$/m.exec(text)[1].split(" ");
}

export class Routers {
    constructor(storeAddress, log) {
        this.storeAddress = storeAddress;
        this.log = log;
        this.folder = mkdtempSync(join(tmpdir(), "lynxarch-review-"));
        this.all = [];
        // No router outlives the case, however that ends.
        process.on("exit", () => this.all.forEach(router => router.process.kill("SIGKILL")));
        for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
            process.on(signal, () => process.exit(2));
        }
    }

    /** What deploy/settings.json.template makes of the platform's fields, with the bounds of a small deployment. */
    async add(name, ip, dataCentre, seedIps = [], changes = {}) {
        this.ports ??= await this.choosePorts(ip);
        const { callers, readiness, control, peers, metrics } = this.ports;
        const settings = {
            control: `${ip}:${control}`,
            stopGraceSeconds: 8,
            drainMs: 2000,
            contactMs: 3000,
            applyMs: 2000,
            heartbeatMs: 1200,
            shareWindowSeconds: 4,
            retryBudget: { ratio: 0.2, windowSeconds: 10, slack: 54 },
            coldLimit: { overage: 1.5, slack: 5 },
            exposure: { slack: 0 },
            daemonId: name,
            ip,
            dataCentre,
            callers: `${ip}:${callers}`,
            readiness: `${ip}:${readiness}`,
            // The second port is not used: routers hand no connections over by default.
            peerPorts: [peers, peers === 65_535 ? peers - 1 : peers + 1],
            seeds: seedIps.map(seed => `${seed}:${control}`),
            store: { address: this.storeAddress },
            limits: { processorShare: 0.513, memoryMb: 350, maxDescriptors: 4100 },
            relaysPeerMessages: true,
            metricsPort: metrics,
            logLevel: "info",
            ...changes,
        };
        const file = join(this.folder, `${name}.json`);
        writeFileSync(file, JSON.stringify(settings));
        const router = { name, ip, file, settings, callersPort: callers, readyPort: readiness, process: undefined };
        this.all.push(router);
        this.start(router);
        return router;
    }

    async choosePorts(ip) {
        return {
            callers: await findPort(ip),
            readiness: await findPort(ip),
            control: await findPort(ip),
            peers: await findPort(ip),
            metrics: await findPort(ip),
        };
    }

    start(router) {
        const [command, ...words] = readCommand();
        const child = spawn(command, words, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, LYNXARCH_BOOT: router.file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        router.process = child;
        router.exited = new Promise(done =>
            child.once("exit", (code, signal) => {
                router.ended = { code, signal, atMs: performance.now() };
                done(router.ended);
            }),
        );
        child.stdout.on("data", data => this.log?.(router.name, data.toString()));
        child.stderr.on("data", data => this.log?.(router.name, data.toString()));
    }

    async waitUntilReady(router, ms = 15_000) {
        const untilMs = performance.now() + ms;
        while (performance.now() < untilMs) {
            try {
                const response = await fetch(`http://${router.ip}:${router.readyPort}/api/readyz`);
                await response.arrayBuffer();
                if (response.status === 200) {
                    return true;
                }
            } catch {
                // It does not listen yet.
            }
            await sleep(100);
        }
        return false;
    }

    async close() {
        for (const router of this.all) {
            if (router.ended === undefined) {
                router.process.kill("SIGKILL");
                await router.exited;
            }
        }
        rmSync(this.folder, { recursive: true, force: true });
    }
}
