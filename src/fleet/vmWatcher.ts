import { CancellationTokenSource } from "../base/cancellation.js";
import { Emitter } from "../base/event.js";
import { DisposableStore, type Disposable } from "../base/lifecycle.js";
import type { Random } from "../base/random.js";
import type { Vm, VmListService } from "../platform/vmList.js";
import type { Scheduler } from "./coreRunner.js";

/** What a {@link VmWatcher} needs. */
export interface VmWatcherOptions {
    readonly vms: VmListService;
    readonly scheduler: Scheduler;
    readonly random: Random;
    /** Time between looks; milliseconds. */
    readonly periodMs?: number;
}

const defaultPeriodMs = 2_000;
const jitter = 0.4;

/** Looks at the platform's list of VMs on a period. The list lags: it is a hint, never a proof. */
export class VmWatcher implements Disposable {
    private readonly store = new DisposableStore();
    private readonly cancellation = this.store.add(new CancellationTokenSource());
    private readonly changeEmitter = this.store.add(new Emitter<readonly Vm[]>());
    private timer: Disposable | undefined;

    /** The list was read. Silent while the platform is down: no list is not an empty list. */
    public readonly onDidRead = this.changeEmitter.onDidFire;

    public constructor(private readonly options: VmWatcherOptions) {}

    public start(): void {
        void this.run();
    }

    public dispose(): void {
        this.cancellation.cancel();
        this.timer?.dispose();
        this.store.dispose();
    }

    private async run(): Promise<void> {
        const { vms, scheduler, random, periodMs } = this.options;
        const list = await vms.list(this.cancellation.token);
        if (this.cancellation.token.isCancelled) {
            return;
        }
        list.map(value => this.changeEmitter.fire(value));
        const delayMs = (periodMs ?? defaultPeriodMs) * (1 + jitter * (random.next() - 0.5));
        this.timer = scheduler.run(() => void this.run(), delayMs);
    }
}
