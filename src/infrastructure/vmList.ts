import type { ResultAsync } from "neverthrow";
import type { CancellationToken } from "../base/cancellation.js";
import type { PlatformError } from "./errors.js";

/** A VM as the platform lists it; the list lags behind reality. */
export interface Vm {
    readonly id: string;
    readonly dataCentre: string;
    readonly state: "live" | "leaving";
}

/** The platform's list of live and leaving VMs. */
export interface VmListService {
    /** Errors: unavailable. */
    list(token: CancellationToken): ResultAsync<readonly Vm[], PlatformError>;
}
