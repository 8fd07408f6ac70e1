import { LynxarchError } from "../base/errors.js";

/** A platform service did not answer as it should; whether a write took effect is unknown. */
export class PlatformError extends LynxarchError {
    public readonly code = "platform-unavailable";

    public constructor(
        public readonly service: "log" | "vm-list" | "weight-store",
        message: string,
        cause?: unknown,
    ) {
        super(message, cause);
    }
}
