import { CancellationTokenSource } from "../base/cancellation.js";
import { Emitter } from "../base/event.js";
import type { Disposable } from "../base/lifecycle.js";
import type { AgentMessage } from "../fleet/agentMessages.js";
import type { Scheduler } from "../fleet/coreRunner.js";
import type { TargetClient } from "./targetClient.js";
import { isSilence } from "./targetConnection.js";

/** A target that is silent for so many polls in a row counts as gone. A sound one may be silent for some seconds and go on. */
const maxSilentPolls = 3;

/** Reads the target's load report on a period and passes it to the core. The report lags: it is a hint. */
export class LoadWatcher implements Disposable {
    private readonly cancellation = new CancellationTokenSource();
    private timer: Disposable | undefined;
    private readonly returnEmitter = new Emitter<void>();
    private failed = false;
    private silentPolls = 0;

    /** The target answers again after it was gone. */
    public readonly onDidReturn = this.returnEmitter.onDidFire;

    public constructor(
        private readonly target: TargetClient,
        private readonly periodMs: number,
        private readonly scheduler: Scheduler,
        private readonly sendMessage: (message: AgentMessage) => void,
    ) {
        this.timer = scheduler.run(() => void this.run(), 0);
    }

    public dispose(): void {
        this.cancellation.cancel();
        this.timer?.dispose();
        this.returnEmitter.dispose();
    }

    private async run(): Promise<void> {
        const load = await this.target.fetchLoad(this.cancellation.token);
        if (this.cancellation.token.isCancelled) {
            return;
        }
        load.match(
            report => {
                this.silentPolls = 0;
                if (this.failed) {
                    this.failed = false;
                    this.returnEmitter.fire();
                }
                if (report !== undefined) {
                    this.sendMessage({ type: "targetReported", ...report });
                }
            },
            error => {
                this.silentPolls = isSilence(error) ? this.silentPolls + 1 : maxSilentPolls;
                // Once per outage: a target that comes back after it was gone has lost its state and starts cold.
                if (!this.failed && this.silentPolls >= maxSilentPolls) {
                    this.failed = true;
                    this.sendMessage({ type: "targetLost" });
                }
            },
        );
        this.timer = this.scheduler.run(() => void this.run(), this.periodMs);
    }
}
