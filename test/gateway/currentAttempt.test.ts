import { expect, it } from "vitest";
import { CurrentAttempt } from "../../src/gateway/currentAttempt.js";

// A status that promises that the request was not executed would be false after an exception that follows the attempt.
it("an attempt counts as written until the next one is opened", () => {
    const released: string[] = [];
    const current = new CurrentAttempt();
    const written = [current.isWritten];
    current.open(() => released.push("first"));
    current.recordWritten();
    written.push(current.isWritten);
    current.close();
    written.push(current.isWritten);
    current.open(() => released.push("second"));
    written.push(current.isWritten);
    current.cancel();
    current.cancel();
    expect({ written, released }).toEqual({ written: [false, true, true, false], released: ["second"] });
});
