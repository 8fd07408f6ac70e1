import type { SeededRandom } from "../../src/base/random.js";
import type { Route, RouteMode } from "../fakes/forwarder/route.js";
import type { StoreCondition, StoreServer } from "../fakes/usersPlatform/storeServer.js";
import type { TargetScript } from "../fakes/usersPlatform/targetServer.js";
import { ClientCrowd, type ClientBehaviour } from "../misbehavingClients/clientCrowd.js";
import { silence } from "./calmness.js";
import type { Disturbance } from "./records.js";
import type { SoakCallers } from "./soakCallers.js";
import { coldStartMs, type SoakOperator } from "./soakOperator.js";
import type { FaultKind, PlannedFault } from "./soakPlan.js";
import type { SoakRollouts } from "./soakRollouts.js";
import { clientPorts, type SoakRouter, type SoakRouters } from "./soakRouters.js";
import type { SoakTarget, SoakTargets } from "./soakTargets.js";

const graceMs = 8_000;
const rollGapMs = 400;
const stormGapMs = 120;
const stormLength = 4;
const linkDelayMs = 120;
const faultShare = 0.4;
/** After an outage of the store this long ago its acknowledgements bind. */
const contactMs = 3_000;
const throttledPart = 0.1;
const longestStallMs = 1_000;
const fatalCount = 8;
const fatalGapMs = 700;
const fatalPartCount = 24;
const fatalPartGapMs = 250;
const besideDataCentres = ["dc-a", "dc-b"] as const;
const oneWay: readonly RouteMode[] = ["frozen-out", "frozen-back"];
const storeConditions: readonly StoreCondition[] = ["busy", "silent", "reset"];
/** Which targets are silent together with a chosen one. */
const silentGroups: readonly ((target: SoakTarget, chosen: SoakTarget) => boolean)[] = [
    (target, chosen) => target.dataCentre === chosen.dataCentre,
    (target, chosen) => target.service === chosen.service,
    (target, chosen) => target.service === chosen.service && target.dataCentre !== chosen.dataCentre,
    () => true,
];
/** Makes the group differ between picks of the same target. */
const silentGroupSpread = 100;
const crowdSize = 60;
/** Makes ports and behaviours differ between picks of the same router. */
const crowdSpread = 100;
const crowdHost = "Host: stranger.example\r\n";
const crowdBytes = 4_194_304;
const crowdRequests: readonly Pick<ClientBehaviour, "opening" | "repeated">[] = [
    { repeated: `GET /nowhere HTTP/1.1\r\n${crowdHost}\r\n` },
    { repeated: `GET /api/readyz HTTP/1.1\r\n${crowdHost}\r\n` },
    { repeated: "GET /nowhere HTTP/1.1\r\n\r\n" },
    { opening: `POST /nowhere HTTP/1.1\r\n${crowdHost}Transfer-Encoding: chunked\r\n\r\n`, repeated: "1\r\nx\r\n" },
    { repeated: "" },
];
const crowdBehaviours: readonly ClientBehaviour[] = crowdRequests.flatMap(request =>
    [false, true].map(readsAnswers => ({ ...request, bytesPerClient: crowdBytes, readsAnswers })),
);
const spoils: readonly TargetScript[] = ["break-off", "tear-event", "reset-unframed", "late-extra"];

/** What faults act on. */
export interface FaultScene {
    readonly store: StoreServer;
    readonly targets: SoakTargets;
    readonly routers: SoakRouters;
    readonly operator: SoakOperator;
    readonly callers: SoakCallers;
    readonly rollouts: SoakRollouts;
    readonly random: SeededRandom;
    readonly disturbances: Disturbance[];
}

/** Plays a plan's entries on the scene. */
export class SoakFaults {
    private readonly running: Promise<void>[] = [];
    private readonly timers: NodeJS.Timeout[] = [];
    private besideCount = 0;

    public constructor(private readonly scene: FaultScene) {}

    public start(plan: readonly PlannedFault[]): void {
        for (const fault of plan) {
            this.timers.push(setTimeout(() => this.running.push(this.runFault(fault)), fault.atMs));
        }
    }

    /** Waits until all that was begun has ended. */
    public async waitForEnd(): Promise<void> {
        await Promise.all(this.running);
    }

    private async runFault(fault: PlannedFault): Promise<void> {
        const { disturbances, routers, targets } = this.scene;
        const router = pickFrom(routers.all, fault.pick);
        const target = pickFrom(targets.open, fault.pick);
        const scope = getScope(fault.kind, router);
        const disturbance = {
            what: `${fault.kind} ${scope === "targets" ? target?.id : scope}`,
            scope,
            fromMs: performance.now(),
            toMs: Number.POSITIVE_INFINITY,
        };
        disturbances.push(disturbance);
        if (fault.kind === "target-silent" || fault.kind === "targets-silent") {
            if (target !== undefined) {
                await this.stopTargets(fault, target);
            }
        } else if (fault.kind.startsWith("target-")) {
            if (target !== undefined) {
                await this.runTargetFault(fault, target);
            }
        } else if (fault.kind.startsWith("store-")) {
            await this.runStoreFault(fault, router);
        } else if (fault.kind === "clients-crowd") {
            await this.runCrowd(fault, router);
        } else if (fault.kind.startsWith("callers-")) {
            await this.runLinkFault(fault, router.callersLink);
        } else if (fault.kind.startsWith("router-")) {
            await this.runRouterFault(fault, router);
        } else {
            await this.runChange(fault);
        }
        disturbance.toMs = performance.now();
    }

    /** Clients at one of a router's ports; they connect to it directly, and excuse nothing that others lose. */
    private async runCrowd({ forMs, pick }: PlannedFault, { ip }: SoakRouter): Promise<void> {
        const port = pickFrom(clientPorts, (pick * crowdSpread) % 1);
        const behaviour = pickFrom(crowdBehaviours, (pick * crowdSpread * crowdSpread) % 1);
        const crowd = new ClientCrowd(port, ip);
        const running = crowd.run(crowdSize, behaviour);
        await sleepFor(forMs);
        crowd.dispose();
        await running;
    }

    private async runRouterFault({ kind, forMs, pick }: PlannedFault, router: SoakRouter): Promise<void> {
        const { routers } = this.scene;
        switch (kind) {
            case "router-kill":
                routers.stopAtOnce(router, forMs);
                await sleepFor(forMs);
                break;
            case "router-kill-all":
                routers.all.forEach(each => routers.stopAtOnce(each, forMs / 2));
                await sleepFor(forMs / 2);
                break;
            case "router-term":
                await routers.stopGracefully(router, graceMs);
                break;
            case "router-roll":
                await Promise.all(
                    routers.all.map(async (each, index) => {
                        await sleepFor(index * rollGapMs);
                        await routers.stopGracefully(each, graceMs);
                    }),
                );
                break;
            case "router-pause":
                routers.sendSignal(router, "SIGSTOP");
                await sleepFor(forMs);
                routers.sendSignal(router, "SIGCONT");
                break;
            default:
                routers.updateSettings(router, { retryBudget: { ratio: 0.2, windowSeconds: 10, slack: 20 + pick } });
        }
    }

    private async runLinkFault({ kind, forMs, pick }: PlannedFault, link: Route): Promise<void> {
        if (kind.endsWith("-reset")) {
            link.closeAllWithReset();
            return;
        }
        if (kind.endsWith("-delayed")) {
            link.delayMs = linkDelayMs;
        } else {
            link.setMode(kind.endsWith("-cut") ? "cut" : kind.endsWith("-frozen") ? "frozen" : pickFrom(oneWay, pick));
        }
        await sleepFor(forMs);
        link.delayMs = 0;
        link.setMode("open");
    }

    private async runStoreFault(fault: PlannedFault, router: SoakRouter): Promise<void> {
        const { store, targets } = this.scene;
        switch (fault.kind) {
            case "store-away":
                store.condition = pickFrom(storeConditions, fault.pick);
                await sleepFor(fault.forMs);
                store.condition = "up";
                break;
            case "store-lapse":
                store.condition = pickFrom(storeConditions, fault.pick);
                await sleepFor(fault.forMs);
                store.condition = "up";
                await targets.removeEntries(fault.pick * 1_500);
                break;
            case "store-history":
                store.removeHistory("keyed.op");
                store.removeHistory("keyed.servers");
                break;
            case "store-throttling":
                await this.setStoreFor("throttling", fault.forMs * throttledPart);
                break;
            case "store-stalled":
                await this.setStoreFor("stalled", Math.min(fault.forMs, longestStallMs));
                break;
            case "store-silent":
                await this.setStoreFor("paused", Math.min(fault.forMs, longestStallMs));
                break;
            case "store-garbage":
                store.write("keyed.servers", "stranger", fault.pick < 0.5 ? "\u0000 not JSON" : { service: 7 });
                store.write("keyed.op", "config-of-others", "[]");
                break;
            default:
                await this.runLinkFault(fault, router.storeLink);
        }
    }

    /** Only from a store that is up, so that overlapping faults don't end each other's. */
    private async setStoreFor(condition: StoreCondition, forMs: number): Promise<void> {
        const { store } = this.scene;
        if (store.condition !== "up") {
            return;
        }
        store.condition = condition;
        await sleepFor(forMs);
        store.condition = store.condition === condition ? "up" : store.condition;
    }

    /** As an outage of its own it excuses what routers do meanwhile and until they are in contact again. */
    private async setStoreAway({ pick, forMs }: PlannedFault): Promise<void> {
        const outage = {
            what: "store-away",
            scope: "routers",
            fromMs: performance.now(),
            toMs: Number.POSITIVE_INFINITY,
        };
        this.scene.disturbances.push(outage);
        await this.setStoreFor(pickFrom(storeConditions, pick), forMs);
        outage.toMs = performance.now();
    }

    private async runTargetFault(fault: PlannedFault, target: SoakTarget): Promise<void> {
        const { targets } = this.scene;
        const { service, dataCentre } = target;
        switch (fault.kind) {
            case "target-crash":
                targets.end(target);
                await sleepFor(fault.forMs);
                await targets.start(service, dataCentre, coldStartMs);
                break;
            case "target-reborn":
                await targets.startAnew(target, fault.forMs / 2);
                break;
            case "target-drain":
                await targets.start(service, dataCentre, coldStartMs);
                await targets.drain(target);
                break;
            case "target-removed":
                await targets.start(service, dataCentre, coldStartMs);
                await targets.removeRecord(target);
                break;
            case "target-removed-later":
                await targets.start(service, dataCentre, coldStartMs);
                await this.setStoreAway(fault);
                await sleepFor(contactMs);
                await targets.removeRecord(target);
                break;
            case "target-leaves":
                await targets.start(service, dataCentre, coldStartMs);
                await targets.drainSilently(target);
                break;
            case "target-pauses":
                await targets.refuseForPause(target, fault.forMs, fault.forMs);
                break;
            case "target-fatal":
                for (let index = 0; index < fatalCount; index++) {
                    await this.scene.callers.sendFatal();
                    await sleepFor(fatalGapMs);
                }
                break;
            case "target-fatal-part":
                for (let index = 0; index < fatalPartCount; index++) {
                    await this.scene.callers.sendFatalPart();
                    await sleepFor(fatalPartGapMs);
                }
                break;
            case "target-version-beside":
                await this.scene.rollouts.runAlone(service, () => this.startBeside(fault, service));
                break;
            case "target-reborn-version":
                await targets.startAnew(target, fault.forMs / 2, this.createVersion());
                break;
            case "target-version-sound":
            case "target-version-bad":
                await this.scene.rollouts.run(service, fault.kind === "target-version-bad");
                break;
            case "target-moved":
                // Its address goes to a target of the other service.
                targets.end(target);
                await targets.start(service === "app" ? "engines" : "app", dataCentre, coldStartMs, target.linkPort);
                await targets.start(service, dataCentre, coldStartMs);
                break;
            case "target-grey":
            case "target-hang":
            case "target-spoilt":
            case "target-endless":
            case "target-shed":
                await targets.setScriptFor(target, getScript(fault), faultShare, fault.forMs);
                break;
            default:
                await this.runLinkFault(fault, target.link);
        }
    }

    /** Targets stand still and go on where they were. Each has a disturbance of its own, as silence excuses less than other faults. */
    private async stopTargets({ kind, forMs, pick }: PlannedFault, chosen: SoakTarget): Promise<void> {
        const { disturbances, targets } = this.scene;
        const choose = pickFrom(silentGroups, (pick * silentGroupSpread) % 1);
        const silent = kind === "target-silent" ? [chosen] : targets.open.filter(target => choose(target, chosen));
        await Promise.all(
            silent.map(async ({ id, server }) => {
                const disturbance = {
                    what: `${silence} ${id}`,
                    scope: "targets",
                    fromMs: performance.now(),
                    toMs: Number.POSITIVE_INFINITY,
                };
                disturbances.push(disturbance);
                await server.stopFor(forMs);
                disturbance.toMs = performance.now();
            }),
        );
    }

    /** Targets of another version join, and some of those before leave. */
    private async startBeside({ pick }: PlannedFault, service: SoakTarget["service"]): Promise<void> {
        const { targets } = this.scene;
        const version = this.createVersion();
        const former = targets.open.filter(target => target.service === service);
        await Promise.all(
            besideDataCentres.map(dataCentre => targets.start(service, dataCentre, coldStartMs, 0, version)),
        );
        await Promise.all(former.slice(0, Math.floor(pick * former.length)).map(target => targets.drain(target)));
    }

    private createVersion(): string {
        return `beside-${++this.besideCount}`;
    }

    private async runChange({ kind, forMs, pick }: PlannedFault): Promise<void> {
        const { operator } = this.scene;
        switch (kind) {
            case "route-storm":
                for (let index = 0; index < stormLength; index++) {
                    operator.addRoute();
                    await sleepFor(stormGapMs);
                }
                break;
            case "key-revoked":
                operator.removeKey();
                break;
            case "data-centre-out": {
                const dataCentre = `dc-${pickFrom(["a", "b", "c"], pick)}`;
                operator.setDataCentreOut(dataCentre, true);
                await sleepFor(forMs);
                operator.setDataCentreOut(dataCentre, false);
                break;
            }
            default:
                operator.addRoute();
        }
    }
}

/** Which of the promises with a time bound a fault excuses: those of one router, of all routers, or of targets. */
function getScope(kind: FaultKind, router: SoakRouter): string {
    if (kind === "router-kill-all" || kind === "router-roll") {
        return "routers";
    }
    if (kind === "target-silent" || kind === "targets-silent") {
        return "planned";
    }
    if (kind === "clients-crowd") {
        return "planned";
    }
    if (kind === "router-hup" || kind.startsWith("route-") || kind === "key-revoked" || kind === "data-centre-out") {
        return "planned";
    }
    if (kind.startsWith("target-")) {
        return "targets";
    }
    if (
        kind === "store-history" ||
        kind === "store-garbage" ||
        kind === "store-throttling" ||
        kind === "store-stalled" ||
        kind === "store-silent"
    ) {
        return "planned";
    }
    const isWholeStore = kind === "store-away" || kind === "store-lapse";
    return isWholeStore ? "routers" : router.name;
}

function getScript({ kind, pick }: PlannedFault): TargetScript {
    const usual: Partial<Record<FaultKind, TargetScript>> = {
        "target-grey": "error",
        "target-hang": "hang",
        "target-shed": "shed",
        "target-endless": "endless",
    };
    return usual[kind] ?? pickFrom(spoils, pick);
}

function pickFrom<T>(list: readonly T[], pick: number): T {
    return list[Math.floor(pick * list.length)];
}

function sleepFor(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
