import type { SeededRandom } from "../../src/base/random.js";
import { Route } from "../fakes/forwarder/route.js";
import { TargetServer, type TargetScript } from "../fakes/usersPlatform/targetServer.js";
import type { StoreServer } from "../fakes/usersPlatform/storeServer.js";
import { coldStartMs } from "./soakOperator.js";
import type { SoakRecord, StoreWord, TargetArrival } from "./records.js";

/** A target behind its link. */
export interface SoakTarget {
    readonly id: string;
    readonly service: "engines" | "app";
    readonly dataCentre: string;
    version: string;
    readonly server: TargetServer;
    readonly link: Route;
    readonly linkPort: number;
    state: "ready" | "draining" | "gone";
    bornAtMs: number;
    /** It is cold until then; monotonic. */
    coldUntilMs: number;
}

const eventPauseMs = 15;
const workMs = 25;
const slots = 8;
/** How long a target that leaves goes on serving; the bound on routers is shorter. */
const lingerMs = 3_000;
const unannouncedLingerMs = 6_000;
/** From a target's registration to its first answer. */
const announceMs = 700;
const pauseShare = 0.5;
const replaceMs = 500;
const nestingDepth = 20_000;
/** A request with this body ends the target that runs it. */
export const fatalBody = "ends whoever runs it";
/** A request with this part in its prompt ends the target that answers it. */
export const fatalPart = "dead";
const forbiddenHeaders = ["authorization", "x-lynxarch-kv-hold", "x-lynxarch-pin-ms", "kv-from"] as const;

/** The engines and plain services of a run, and their entries in the store. */
export class SoakTargets {
    private readonly all: SoakTarget[] = [];
    private readonly coldSpans: { target: string; fromMs: number; toMs: number }[] = [];
    private readonly versions = new Map<string, string>();
    private readonly lastingScripts = new Map<SoakTarget, () => TargetScript>();
    private count = 0;

    public constructor(
        private readonly store: StoreServer,
        private readonly random: SeededRandom,
        private readonly words: StoreWord[],
    ) {}

    public get open(): readonly SoakTarget[] {
        return this.all.filter(target => target.state === "ready");
    }

    /** Starts a target. `coldMs`: how long it is cold; `linkPort`: an address that another one had. */
    public async start(
        service: "engines" | "app",
        dataCentre: string,
        coldMs = 0,
        linkPort = 0,
        version = this.findVersion(service),
    ): Promise<SoakTarget> {
        const id = `${service}-${++this.count}`;
        const server = new TargetServer(id, service === "engines");
        server.eventPauseMs = eventPauseMs;
        server.workMs = workMs;
        server.fatalBody = fatalBody;
        server.fatalPart = fatalPart;
        server.version = version;
        await server.start();
        const link = new Route("127.0.0.1", Number(server.address.split(":")[1]), []);
        const target: SoakTarget = {
            id,
            service,
            dataCentre,
            version,
            server,
            link,
            linkPort: await link.listen(linkPort),
            state: "ready",
            bornAtMs: Date.now(),
            coldUntilMs: 0,
        };
        server.onDidEnd = () => void this.startSuccessor(target);
        this.all.push(target);
        this.setCold(target, coldMs);
        this.writeEntry(target);
        return target;
    }

    /** Writes entries of another writer, which name no targets; they stay for the whole run. */
    public writeOddEntries(): void {
        const nested = `${"[".repeat(nestingDepth)}${"]".repeat(nestingDepth)}`;
        for (const service of ["engines", "app"]) {
            const entry = { service, address: "127.0.0.1:70000", zone: "dc-a", slots, state: "ready", born: 1 };
            this.store.write("keyed.servers", `odd-port-${service}`, entry);
            this.store.write("keyed.servers", `odd-slots-${service}`, {
                ...entry,
                address: "127.0.0.1:9",
                slots: 1e300,
            });
            this.store.write("keyed.servers", `odd-nesting-${service}`, `{"service":"${service}","address":${nested}}`);
        }
    }

    public writeEntry(target: SoakTarget): void {
        this.store.write("keyed.servers", target.id, {
            service: target.service,
            address: `127.0.0.1:${target.linkPort}`,
            zone: target.dataCentre,
            version: target.version,
            slots,
            state: target.state === "draining" ? "draining" : "ready",
            cold_left_ms: Math.max(0, Math.round(target.coldUntilMs - performance.now())),
            seqno: 1,
            born: target.bornAtMs,
        });
    }

    /** Leaves as planned: says so, serves on for a while, and goes. */
    public async drain(target: SoakTarget): Promise<void> {
        target.state = "draining";
        this.writeEntry(target);
        this.words.push({ kind: "draining", name: target.id, atMs: performance.now() });
        await new Promise(resolve => setTimeout(resolve, lingerMs));
        this.end(target);
    }

    /** Leaves unannounced: its record goes, and it serves on for a while. */
    public async removeRecord(target: SoakTarget): Promise<void> {
        if (target.state !== "ready") {
            return;
        }
        target.state = "draining";
        this.store.write("keyed.servers", target.id, undefined);
        this.words.push({ kind: "removed", name: target.id, atMs: performance.now() });
        await new Promise(resolve => setTimeout(resolve, unannouncedLingerMs));
        this.end(target);
    }

    /** Leaves so that only its answers show it: its record stays ready until it is gone. */
    public async drainSilently(target: SoakTarget): Promise<void> {
        target.server.isLeaving = true;
        await new Promise(resolve => setTimeout(resolve, lingerMs));
        if (target.state !== "gone") {
            this.end(target);
        }
    }

    /** Turns a share of its requests away and asks for a pause each time. */
    public async refuseForPause(target: SoakTarget, pauseMs: number, forMs: number): Promise<void> {
        target.server.retryAfter = (pauseMs / 1_000).toFixed(2);
        await this.setScriptFor(target, "shed", pauseShare, forMs);
        target.server.retryAfter = undefined;
    }

    /** Lets a target answer a share of its requests in another way for a time; then as before: a bad version stays bad. */
    public async setScriptFor(target: SoakTarget, script: TargetScript, share: number, forMs: number): Promise<void> {
        target.server.chooseScript = this.createChooser(script, share);
        await new Promise(resolve => setTimeout(resolve, forMs));
        target.server.chooseScript = this.lastingScripts.get(target);
    }

    /** Ends without a word; its entry lapses. */
    public end(target: SoakTarget): void {
        target.state = "gone";
        target.link.dispose();
        target.server.dispose();
        this.store.write("keyed.servers", target.id, undefined);
        this.words.push({ kind: "gone", name: target.id, atMs: performance.now() });
    }

    /** A request has ended it: its address refuses connections, and another one takes its place later. */
    private async startSuccessor(target: SoakTarget): Promise<void> {
        const kind = target.server.endedBy === "part" ? "crashed-by-part" : "crashed";
        this.words.push({ kind, name: target.id, atMs: performance.now() });
        this.end(target);
        await new Promise(resolve => setTimeout(resolve, replaceMs));
        await this.start(target.service, target.dataCentre, coldStartMs);
    }

    /** Crashes and starts again under its id, cold and with nothing kept; perhaps at another version. */
    public async startAnew(target: SoakTarget, downMs: number, version = target.version): Promise<void> {
        target.link.setMode("cut");
        await new Promise(resolve => setTimeout(resolve, downMs));
        target.version = version;
        target.server.version = version;
        target.bornAtMs = Date.now();
        this.setCold(target, coldStartMs);
        this.writeEntry(target);
        // Routers hear of its start within a round of reading; like a real engine it answers a moment after it registers.
        await new Promise(resolve => setTimeout(resolve, announceMs));
        target.link.setMode("open");
    }

    /** All entries vanish, as after an outage of the store, and are back a moment later. */
    public async removeEntries(awayMs: number): Promise<void> {
        const open = this.open;
        open.forEach(target => this.store.write("keyed.servers", target.id, undefined));
        await new Promise(resolve => setTimeout(resolve, awayMs));
        open.filter(target => target.state === "ready").forEach(target => this.writeEntry(target));
    }

    /** The version that targets of a service are replaced with. */
    public findVersion(service: "engines" | "app"): string {
        return this.versions.get(service) ?? "v1";
    }

    /** Targets of a version that serves the operators' order, and of those before it. */
    public listVersion(service: "engines" | "app", version: string): readonly SoakTarget[] {
        return this.all.filter(target => target.service === service && target.version === version);
    }

    /** The version is complete: all others stop at once, without draining. */
    public setVersion(service: "engines" | "app", version: string): void {
        this.versions.set(service, version);
        this.open
            .filter(target => target.service === service && target.version !== version)
            .forEach(target => this.end(target));
    }

    /** Lets a target answer a share of its requests in another way from now on. */
    public setScript(target: SoakTarget, script: TargetScript, share: number): void {
        const choose = this.createChooser(script, share);
        this.lastingScripts.set(target, choose);
        target.server.chooseScript = choose;
    }

    public resumeAll(): void {
        for (const target of this.all) {
            target.server.chooseScript = undefined;
            if (target.state === "ready") {
                target.link.delayMs = 0;
                target.link.setMode("open");
            }
        }
    }

    public listArrivals(): readonly TargetArrival[] {
        return this.all.flatMap(target =>
            target.server.received.map(request => ({
                id: request.id,
                target: target.id,
                service: target.service,
                atMs: request.atMs,
                method: request.method,
                path: request.url,
                body: request.body,
                account: request.headers["x-lynxarch-tenant"]?.toString(),
                forged: forbiddenHeaders.filter(name => request.headers[name] !== undefined),
                ran: request.ran,
                saysLeaving: request.saysLeaving,
                pauseMs: request.pauseMs,
            })),
        );
    }

    public describe(): Pick<SoakRecord, "dataCentres" | "versions" | "coldSpans"> {
        return {
            dataCentres: new Map(this.all.map(target => [target.id, target.dataCentre])),
            versions: new Map(this.all.map(target => [target.id, target.version])),
            coldSpans: this.coldSpans,
        };
    }

    public dispose(): void {
        for (const target of this.all) {
            target.link.dispose();
            target.server.dispose();
        }
    }

    private createChooser(script: TargetScript, share: number): () => TargetScript {
        return () => (this.random.next() < share ? script : "serve");
    }

    private setCold(target: SoakTarget, coldMs: number): void {
        if (coldMs > 0) {
            const fromMs = performance.now();
            target.coldUntilMs = fromMs + coldMs;
            this.coldSpans.push({ target: target.id, fromMs, toMs: target.coldUntilMs });
        }
    }
}
