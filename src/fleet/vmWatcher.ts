import { CancellationTokenSource } from "../base/cancellation.js";
import { Emitter } from "../base/event.js";
import { DisposableStore, type Disposable } from "../base/lifecycle.js";
import type { Random } from "../base/random.js";
import type { Vm, VmListService } from "../infrastructure/vmList.js";
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
/** Bytes of one VM on the list, about. */
const bytesPerVm = 60;
/** What reading the list may take of the 5,000 bytes a second that a daemon has for control. */
const bytesPerSecond = 500;
const msPerSecond = 1_000;

/** Looks at the platform's list of VMs on a period. The list lags: it is a hint, never a proof. */
export class VmWatcher implements Disposable {
    private readonly store = new DisposableStore();
    private readonly cancellation = this.store.add(new CancellationTokenSource());
    private readonly changeEmitter = this.store.add(new Emitter<readonly Vm[]>());
    private timer: Disposable | undefined;
    private listedVms = 0;

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
        list.map(value => {
            this.listedVms = value.length;
            this.changeEmitter.fire(value);
        });
        // The list comes whole. In a large fleet a look every two seconds would be the greater part of all control traffic,
        // for news that lags anyway: a VM that leaves tells its daemon by SIGTERM.
        const affordableMs = (this.listedVms * bytesPerVm * msPerSecond) / bytesPerSecond;
        const delayMs = Math.max(periodMs ?? defaultPeriodMs, affordableMs) * (1 + jitter * (random.next() - 0.5));
        this.timer = scheduler.run(() => void this.run(), delayMs);
    }
}
