import { CancellationTokenSource } from "../base/cancellation.js";
import type { Disposable } from "../base/lifecycle.js";
import type { Logger } from "../base/log.js";
import { sleepOnTimer } from "../base/sleep.js";
import type { EngineInspector } from "./engineInspector.js";
import type { FleetSource } from "./fleetSource.js";
import type { Target } from "./target.js";
import type { TargetDirectory } from "./targetDirectory.js";

const usablePollMs = 50;

/**
 * Queries the engines' cached prompt parts once, when the router starts. Without them, a restarted router would assume empty caches:
 * it would route prompts away from the engines that have their shared parts cached, and refuse most prompts because their estimates
 * include a complete prefill. Later, peers report parts when they are prefilled.
 */
export class CachedPartsLoader implements Disposable {
    private readonly cancellation = new CancellationTokenSource();

    public constructor(
        private readonly inspector: EngineInspector,
        private readonly logger: Logger,
        private readonly directory: TargetDirectory,
    ) {}

    /** Queries all model engines that accept requests. */
    public async load(): Promise<void> {
        const { directory } = this;
        const engines = directory
            .listAll()
            .filter(target => directory.findService(target.entry.service)?.engine !== undefined)
            .filter(target => directory.isOpen(target));
        const counts = await Promise.all(engines.map(engine => this.loadOne(engine)));
        const parts = counts.reduce((sum, count) => sum + count, 0);
        this.logger.write("info", "loaded lists of cached prompt parts", { engines: engines.length, parts });
    }

    /** Waits until the source has listed the engines, then queries them. */
    public async loadWhenUsable(source: Pick<FleetSource, "isUsable">): Promise<void> {
        const { token } = this.cancellation;
        while (!source.isUsable && !token.isCancelled) {
            await sleepOnTimer(usablePollMs, token);
        }
        await this.load();
    }

    public dispose(): void {
        this.cancellation.cancel();
    }

    private async loadOne(engine: Target): Promise<number> {
        const { availability } = engine;
        const list = await this.inspector.listCachedParts(engine.entry.address, this.cancellation.token);
        return list.match(
            response => {
                this.directory.observeSignals(engine, availability, response);
                response.parts.forEach(part => engine.recordPart(part.id, part.tokens));
                return response.parts.length;
            },
            error => {
                this.logger.write("info", "failed to list the cached prompt parts of an engine", {
                    target: engine.id,
                    detail: error.message,
                });
                return 0;
            },
        );
    }
}
