import type { DisposableStore } from "../../base/lifecycle.js";
import { runTaskLogged } from "../../base/runLogged.js";
import type { FleetSource } from "../fleetSource.js";
import { StreamVersions, type StreamVersionsOptions } from "./streamVersions.js";
import { VersionRecorder, type VersionRecorderOptions } from "./versionRecorder.js";

/** Dependencies of the components that keep resumed streams at the version that began them. */
export interface StreamsOptions
    extends
        Omit<StreamVersionsOptions, "getCoveredUntilMs">,
        Omit<VersionRecorderOptions, "records" | "hasTargets" | "directory" | "peers"> {
    readonly peers: StreamVersionsOptions["peers"] & VersionRecorderOptions["peers"];
    readonly source: Pick<FleetSource, "versions" | "isUsable" | "health" | "onDidRewind">;
}

/** Creates the lookup of streams' versions, and the recorder of the versions that services had. `store` owns both. */
export function createStreams(options: StreamsOptions, store: DisposableStore): StreamVersions {
    const { source } = options;
    const recorder = store.add(
        new VersionRecorder({ ...options, records: source.versions, hasTargets: () => source.isUsable }),
    );
    store.add(source.onDidRewind(() => recorder.handleRewind()));
    runTaskLogged(options.logger, "loading the history of versions failed", () => recorder.load());
    return store.add(new StreamVersions({ ...options, getCoveredUntilMs: () => source.health.targets.coveredUntilMs }));
}
