import type { Target } from "../target.js";

/** The versions of a service that a request may be sent to. */
export interface VersionSelection {
    /** Whether a version that is being rolled out is selected and the request can still go to the one before it. */
    readonly hasFallback: boolean;
    isAllowed(target: Target): boolean;
    /** Selects the version before the roll-out, if the request has a choice. */
    chooseBaseline(): void;
    /** Records that the request is sent to a target. */
    recordSent(target: Target): void;
}
