import { CancellationTokenSource } from "../../base/cancellation.js";
import type { Disposable } from "../../base/lifecycle.js";
import type { Logger } from "../../base/log.js";
import type { Sleep } from "../../base/sleep.js";
import type { FleetSource } from "../fleetSource.js";
import { fetchSnapshot } from "./snapshotApi.js";

/** Time for the platform to respond first; milliseconds. A start without an outage needs no peer. */
const platformHeadStartMs = 300;
/** Interval between rounds of attempts; milliseconds. */
const retryMs = 500;

/** Dependencies of a {@link SnapshotTransfer}. */
export interface SnapshotTransferOptions {
    readonly source: FleetSource;
    readonly logger: Logger;
    readonly sleep: Sleep;
    /** Control addresses of routers that may hold the platform's records. */
    readonly listAddresses: () => readonly string[];
}

/**
 * Fetches the platform's records from peers while the platform is unavailable. A router that starts during an outage has no
 * routes and would refuse all requests until the outage ends, while its peers still serve with the records that they read before.
 * A snapshot is applied only as long as the platform's own records have not been read; those replace it later.
 */
export class SnapshotTransfer implements Disposable {
    private readonly cancellation = new CancellationTokenSource();

    public constructor(private readonly options: SnapshotTransferOptions) {}

    /** Runs until the platform's records are available, from the platform or a peer, or until disposed. */
    public async run(): Promise<void> {
        const { source, sleep, listAddresses } = this.options;
        const { token } = this.cancellation;
        await sleep(platformHeadStartMs, token);
        while (!token.isCancelled && !source.isUsable) {
            for (const address of listAddresses()) {
                if (await this.fetchFrom(address)) {
                    return;
                }
            }
            await sleep(retryMs, token);
        }
    }

    public dispose(): void {
        this.cancellation.cancel();
    }

    private async fetchFrom(address: string): Promise<boolean> {
        const { source, logger } = this.options;
        const snapshot = await fetchSnapshot(address);
        if (this.cancellation.token.isCancelled || source.isUsable) {
            return true;
        }
        return snapshot.match(
            value => {
                if (value === undefined) {
                    return false;
                }
                source.applySnapshot(value);
                logger.write("info", "applied a snapshot of the platform's records from a peer", {
                    address,
                    records: value.records.length,
                });
                return true;
            },
            error => {
                logger.write("info", "fetching a snapshot from a peer failed", { address, detail: error.message });
                return false;
            },
        );
    }
}
