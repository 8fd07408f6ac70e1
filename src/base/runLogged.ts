import { describeError } from "./errors.js";
import type { LogFields, Logger } from "./log.js";

/** Runs an action on one of several inputs. A failure is logged, so that the inputs after it are still processed. */
export function runLogged(logger: Logger, message: string, fields: LogFields, action: () => void): void {
    try {
        action();
    } catch (error) {
        logger.write("error", message, { ...fields, detail: describeError(error) });
    }
}

/** Runs a task that nothing awaits. A failure is logged; unhandled, it would end the process. */
export function runTaskLogged(logger: Logger, message: string, task: () => Promise<void>): void {
    task().catch((error: unknown) => logger.write("error", message, { detail: describeError(error) }));
}
