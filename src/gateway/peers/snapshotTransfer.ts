import { CancellationTokenSource } from "../../base/cancellation.js";
import type { Disposable } from "../../base/lifecycle.js";
import type { Logger } from "../../base/log.js";
import type { Sleep } from "../../base/sleep.js";
import type { FleetSource } from "../fleetSource.js";
import { fetchSnapshot } from "./snapshotApi.js";

/** The platform is asked first: a start while all is well needs no peer. */
const headStartMs = 300;
const retryMs = 500;

/** What a {@link SnapshotTransfer} needs. */
export interface SnapshotTransferOptions {
    readonly source: FleetSource;
    readonly logger: Logger;
    readonly sleep: Sleep;
    /** Control addresses of routers that may know. */
    readonly listAddresses: () => readonly string[];
}

/**
 * Gets the platform's records from peers while the platform itself does not answer. A router that starts during an outage
 * knows no route and would turn all callers away for as long as the outage lasts; its peers still serve by what they read
 * before. Records only fill what has not been read: what the platform says later replaces them.
 */
export class SnapshotTransfer implements Disposable {
    private readonly cancellation = new CancellationTokenSource();

    public constructor(private readonly options: SnapshotTransferOptions) {}

    public async run(): Promise<void> {
        const { source, sleep, listAddresses } = this.options;
        const { token } = this.cancellation;
        await sleep(headStartMs, token);
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
                logger.write("info", "took the platform's records from a peer", {
                    address,
                    records: value.records.length,
                });
                return true;
            },
            error => {
                logger.write("info", "a peer hands nothing over", { address, detail: error.message });
                return false;
            },
        );
    }
}
