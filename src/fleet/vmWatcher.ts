import { CancellationTokenSource } from "../base/cancellation.js";
import { Emitter } from "../base/event.js";
import { DisposableStore, type Disposable } from "../base/lifecycle.js";
import type { Random } from "../base/random.js";
import type { Vm, VmListService } from "../infrastructure/vmList.js";
import type { Scheduler } from "./coreRunner.js";

/** Dependencies and settings of a {@link VmWatcher}. */
export interface VmWatcherOptions {
    readonly vms: VmListService;
    readonly scheduler: Scheduler;
    readonly random: Random;
    /** Minimum polling period before jitter; milliseconds. */
    readonly periodMs?: number;
}

const defaultPeriodMs = 2_000;
/** Polling delays vary by this share of the period in total. */
const jitterShare = 0.4;
/** Approximate size of one VM in the list. */
const bytesPerVm = 60;
/** Part of a daemon's control traffic budget of 5,000 bytes per second that polling the list may use. */
const maxBytesPerSecond = 500;
const msPerSecond = 1_000;

/** Polls the platform's list of VMs. The list lags, so it is a hint and never proof of a VM's state. */
export class VmWatcher implements Disposable {
    private readonly store = new DisposableStore();
    private readonly cancellation = this.store.add(new CancellationTokenSource());
    private readonly readEmitter = this.store.add(new Emitter<readonly Vm[]>());
    private timer: Disposable | undefined;
    private vmCount = 0;

    /** Fires when the list was read, but not while the platform is unavailable: no list is not an empty list. */
    public readonly onDidRead = this.readEmitter.onDidFire;

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
            this.vmCount = value.length;
            this.readEmitter.fire(value);
        });
        // Each poll returns the complete list. In a large fleet, polling it every two seconds would be most of all
        // control traffic, and the list lags anyway: a VM that is leaving notifies its daemon by SIGTERM.
        const minPeriodMs = (this.vmCount * bytesPerVm * msPerSecond) / maxBytesPerSecond;
        const delayMs = Math.max(periodMs ?? defaultPeriodMs, minPeriodMs) * (1 + jitterShare * (random.next() - 0.5));
        this.timer = scheduler.run(() => void this.run(), delayMs);
    }
}
