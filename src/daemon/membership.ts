import type { CancellationToken } from "../base/cancellation.js";
import type { Disposable } from "../base/lifecycle.js";
import type { DaemonStatus, RosterEntry } from "../control/schemas.js";
import { Registrar } from "../fleet/registrar.js";
import { sleepOnTimer } from "../base/sleep.js";
import type { CommonParts } from "./commonParts.js";

/** Keeps this daemon in the roster with the services that it serves now, and tells others about it. */
export class Membership implements Disposable {
    private registrar: Registrar | undefined;
    private registeredServices: string | undefined;
    private leaving = false;

    /** `listServices` gives undefined as long as they are not known; until then nothing is registered. */
    public constructor(
        private readonly parts: CommonParts,
        private readonly listServices: () => readonly string[] | undefined,
    ) {}

    /** Registers once the services are known, and anew when they change. */
    public update(): void {
        const services = this.listServices();
        const text = JSON.stringify(services);
        if (services === undefined || text === this.registeredServices || this.leaving) {
            return;
        }
        this.registeredServices = text;
        this.registrar?.dispose();
        const { log, roster, clock, random, settings } = this.parts;
        this.registrar = new Registrar({
            environment: settings.environment,
            entry: this.createEntry(services),
            log,
            watcher: roster,
            clock,
            random,
            sleep: sleepOnTimer,
            logRetentionMs: settings.platform.logRetentionMs,
        });
        this.registrar.start();
    }

    /** The registrar, once the daemon registers. */
    public get current(): Registrar | undefined {
        return this.registrar;
    }

    public async removeSelf(token: CancellationToken): Promise<void> {
        this.leaving = true;
        const removed = await this.registrar?.removeSelf(token);
        removed?.mapErr(error =>
            this.parts.logger.write("warn", "the roster was not told of the stop", { detail: error.message }),
        );
    }

    /** What `lynxarch status` shows, as far as it is the same for both roles. */
    public describeSelf(): Omit<DaemonStatus, "phase" | "waiting" | "running"> {
        const { settings, incarnation, version, documents, clock, startedAtMs } = this.parts;
        return {
            daemonId: settings.daemonId,
            role: settings.role,
            incarnation,
            version,
            environment: settings.environment,
            dataCentre: settings.dataCentre,
            address: formatAddress(settings.listen),
            documentOffset: documents.current?.offset ?? -1,
            uptimeMs: Math.round(clock.nowMs() - startedAtMs),
        };
    }

    public dispose(): void {
        this.registrar?.dispose();
    }

    private createEntry(services: readonly string[]): RosterEntry {
        const { settings, incarnation } = this.parts;
        return {
            daemonId: settings.daemonId,
            role: settings.role,
            incarnation,
            address: formatAddress(settings.listen),
            dataCentre: settings.dataCentre,
            vmId: settings.vmId,
            targetName: settings.role === "agent" ? settings.target.name : undefined,
            services: [...services],
        };
    }
}

function formatAddress(listen: { readonly host: string; readonly port: number }): string {
    return `${listen.host}:${listen.port}`;
}
