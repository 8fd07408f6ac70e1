import { errAsync, okAsync } from "neverthrow";
import { describe, expect, it } from "vitest";
import { ManualClock } from "../../src/base/clock.js";
import { SeededRandom } from "../../src/base/random.js";
import { PlatformError } from "../../src/infrastructure/errors.js";
import { LogTail } from "../../src/infrastructure/logTail.js";
import type { LogPage, LogService } from "../../src/infrastructure/logService.js";

const mostReads = 100;

type Answer = LogPage | "down";

/** Runs a tail against these answers, the last one for ever, until it has paused `pauses` times. */
async function runTail(answers: readonly Answer[], tookMs: number, pauses: number): Promise<string[]> {
    const clock = new ManualClock();
    const seen: string[] = [];
    let reads = 0;
    let stop: (reason: string) => void = () => undefined;
    const log: Pick<LogService, "read"> = {
        read: (...[, fromOffset, waitMs]) => {
            const answer = answers[Math.min(reads++, answers.length - 1)] ?? "down";
            seen.push(`read ${fromOffset} wait ${waitMs}`);
            if (reads > mostReads) {
                stop("read without pause");
            }
            clock.advance(tookMs);
            return answer === "down" ? errAsync(new PlatformError("log", "down")) : okAsync(answer);
        },
    };
    let next = 0;
    await new Promise<void>(resolve => {
        let paused = 0;
        const tail = new LogTail(
            {
                log: log as LogService,
                stream: "s",
                clock,
                random: new SeededRandom(1),
                sleep: async ms => {
                    seen.push(`sleep ${Math.round(ms)}`);
                    clock.advance(ms);
                    if (++paused === pauses) {
                        seen.push(`confirmed ${tail.lastConfirmedAtMs}`);
                        tail.dispose();
                        resolve();
                    }
                },
                waitMs: 5_000,
            },
            { getNextOffset: () => next, applyPage: page => (next = page.endOffset) },
        );
        stop = reason => {
            seen.splice(0, seen.length, reason);
            tail.dispose();
            resolve();
        };
        tail.start();
    });
    return seen;
}

const empty: LogPage = { records: [], firstOffset: 0, endOffset: 0 };
const one: LogPage = { records: [{ offset: 0, appendedAtMs: 0, value: 1 }], firstOffset: 0, endOffset: 1 };

describe("LogTail", () => {
    it("backs off with jitter while the log is down, and counts its confirmation from when the read was sent", async () => {
        expect(await runTail([one, "down"], 40, 6)).toMatchInlineSnapshot(`
          [
            "read 0 wait 0",
            "read 1 wait 5000",
            "sleep 163",
            "read 1 wait 0",
            "sleep 101",
            "read 1 wait 0",
            "sleep 469",
            "read 1 wait 0",
            "sleep 1572",
            "read 1 wait 0",
            "sleep 1940",
            "read 1 wait 0",
            "sleep 634",
            "confirmed 0",
          ]
        `);
    });

    it("pauses when the log answers polls at once with nothing new", async () => {
        // The platform, short of memory, ends all long polls at once. Thousands of daemons that ask again without pause
        // would keep it down.
        expect(await runTail([empty], 1, 3)).toMatchInlineSnapshot(`
          [
            "read 0 wait 0",
            "read 0 wait 5000",
            "sleep 100",
            "read 0 wait 5000",
            "sleep 100",
            "read 0 wait 5000",
            "sleep 100",
            "confirmed 203",
          ]
        `);
    });
});
