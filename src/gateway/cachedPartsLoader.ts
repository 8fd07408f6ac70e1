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
 * Asks the engines once, at the router's start, which parts of prompts they keep. A router that was restarted believes that
 * nothing is cached anywhere: it sends prompts away from where their shared parts are, and refuses most of them, as each
 * would have to be read as a whole. Later, peers report parts as they are read.
 */
export class CachedPartsLoader implements Disposable {
    private readonly cancellation = new CancellationTokenSource();

    public constructor(
        private readonly inspector: EngineInspector,
        private readonly logger: Logger,
        private readonly directory: TargetDirectory,
    ) {}

    /** Asks all model engines that take requests. */
    public async load(): Promise<void> {
        const { directory } = this;
        const engines = directory
            .listAll()
            .filter(target => directory.findService(target.entry.service)?.engine !== undefined)
            .filter(target => directory.isOpen(target));
        const counts = await Promise.all(engines.map(engine => this.loadOne(engine)));
        const parts = counts.reduce((sum, count) => sum + count, 0);
        this.logger.write("info", "learnt what engines keep", { engines: engines.length, parts });
    }

    /** Waits until the engines are known, and asks them. */
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
            answer => {
                this.directory.observeSignals(engine, availability, answer);
                answer.parts.forEach(part => engine.recordPart(part.id, part.tokens));
                return answer.parts.length;
            },
            error => {
                this.logger.write("info", "an engine does not tell what it keeps", {
                    target: engine.id,
                    detail: error.message,
                });
                return 0;
            },
        );
    }
}
