import { LynxarchError } from "../base/errors.js";

/** A call to another daemon failed; whether it took effect is unknown unless `reached` is false. */
export class ControlError extends LynxarchError {
    public readonly code = "control-failed";

    public constructor(
        message: string,
        /** Whether the call may have reached the other daemon. */
        public readonly reached: boolean,
        cause?: unknown,
    ) {
        super(message, cause);
    }
}
