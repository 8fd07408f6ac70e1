import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { UnsentBudget, type StreamToEnd } from "../../../src/decisions/limits/unsentBudget.js";

const seed = 20_261_204;
const maxBytes = 1_000;
const maxAccountBytes = maxBytes / 4;

interface Step {
    readonly stream: number;
    readonly bytes: number;
    readonly kind: "write" | "progress" | "remove";
}

interface ModelStream {
    readonly account: string;
    bytes: number;
    progressAtMs: number;
}

const anyStep: fc.Arbitrary<Step> = fc.record({
    stream: fc.nat(29),
    bytes: fc.nat(300),
    kind: fc.constantFrom("write", "write", "write", "progress", "remove"),
});

/** The budget beside a model that is only a list of streams, and the streams that the budget ended. */
class ModelledBudget {
    public readonly streams = new Map<number, ModelStream>();
    public readonly budget = new UnsentBudget<number>(() => maxBytes);

    public constructor(private readonly accountCount: number) {}

    public getBytesByAccount(): ReadonlyMap<string, number> {
        const sums = new Map<string, number>();
        this.streams.forEach(({ account, bytes }) => sums.set(account, (sums.get(account) ?? 0) + bytes));
        return sums;
    }

    public apply({ stream, bytes, kind }: Step, nowMs: number): void {
        const account = `account-${stream % this.accountCount}`;
        const known = this.streams.get(stream);
        const bytesAfter = kind === "remove" ? 0 : kind === "progress" ? Math.min(bytes, known?.bytes ?? 0) : bytes;
        if (kind === "remove") {
            this.budget.remove(stream);
        } else if (kind === "progress") {
            this.budget.recordProgress(stream, bytesAfter, nowMs);
        } else {
            this.budget.recordWrite(stream, account, bytesAfter, nowMs);
        }
        const hasProgress = known === undefined || kind === "progress" || bytesAfter < known.bytes;
        if (bytesAfter === 0) {
            this.streams.delete(stream);
        } else {
            const progressAtMs = hasProgress ? nowMs : known.progressAtMs;
            this.streams.set(stream, { account, bytes: bytesAfter, progressAtMs });
        }
    }

    public endOne(): StreamToEnd<number> | undefined {
        const found = this.budget.findStreamToEnd();
        if (found !== undefined) {
            this.budget.remove(found.stream);
            this.streams.delete(found.stream);
        }
        return found;
    }
}

/** Applies the steps and calls `check` before each stream that is ended, with the state from before. */
function run(
    steps: readonly Step[],
    accountCount: number,
    check: (model: ModelledBudget, found: StreamToEnd<number>, before: ReadonlyMap<number, ModelStream>) => void,
): ModelledBudget {
    const model = new ModelledBudget(accountCount);
    for (const [nowMs, step] of steps.entries()) {
        model.apply(step, nowMs);
        for (;;) {
            const before = new Map(model.streams);
            const found = model.endOne();
            if (found === undefined) {
                break;
            }
            check(model, found, before);
        }
        const sums = model.getBytesByAccount();
        const total = [...sums.values()].reduce((sum, bytes) => sum + bytes, 0);
        expect(model.budget.bytes).toBe(total);
        expect(total).toBeLessThanOrEqual(maxBytes);
        if (sums.size > 1) {
            expect(Math.max(...sums.values())).toBeLessThanOrEqual(maxAccountBytes);
        }
    }
    return model;
}

const anySteps = fc.array(anyStep, { minLength: 1, maxLength: 120 });
const anyAccountCount = fc.integer({ min: 1, max: 7 });

describe("the budget for unsent bytes", () => {
    // Some thousand slow callers, each within its own bound, exhaust the memory of a small router.
    it("is never exceeded after a decision, nor is an account's quarter while others hold anything", () => {
        fc.assert(
            fc.property(anySteps, anyAccountCount, (steps, accountCount) => {
                run(steps, accountCount, () => undefined);
            }),
            { seed, numRuns: 500 },
        );
    });

    // One account's slow callers would cost the streams of accounts that hold little.
    it("never costs an account within its quarter a stream while another account is beyond its own", () => {
        fc.assert(
            fc.property(anySteps, anyAccountCount, (steps, accountCount) => {
                run(steps, accountCount, (...[, found, before]) => {
                    const sums = new Map<string, number>();
                    before.forEach(({ account, bytes }) => sums.set(account, (sums.get(account) ?? 0) + bytes));
                    const isAnyBeyond = [...sums.values()].some(bytes => bytes > maxAccountBytes);
                    const own = sums.get(found.account) ?? 0;
                    expect(own > maxAccountBytes || !isAnyBeyond).toBe(true);
                    expect(own).toBe(Math.max(...sums.values()));
                });
            }),
            { seed, numRuns: 500 },
        );
    });

    // A caller that reads slowly but steadily would be ended although another one has stopped reading.
    it("ends the stream of an account that has gone longest without progress", () => {
        fc.assert(
            fc.property(anySteps, anyAccountCount, (steps, accountCount) => {
                run(steps, accountCount, (...[, found, before]) => {
                    const times = [...before.values()]
                        .filter(({ account }) => account === found.account)
                        .map(({ progressAtMs }) => progressAtMs);
                    expect(before.get(found.stream)?.progressAtMs).toBe(Math.min(...times));
                });
            }),
            { seed, numRuns: 500 },
        );
    });

    it("ends nothing while all streams together hold less than a quarter", () => {
        const budget = new UnsentBudget<string>(() => maxBytes);
        budget.recordWrite("s1", "a", 200, 0);
        budget.recordWrite("s2", "b", 50, 0);
        expect(budget.findStreamToEnd()).toBeUndefined();
    });

    it("leaves all of it to an account while no other one holds anything", () => {
        const budget = new UnsentBudget<string>(() => maxBytes);
        budget.recordWrite("s1", "a", 600, 0);
        budget.recordWrite("s2", "a", 400, 1);
        expect(budget.findStreamToEnd()).toBeUndefined();
        budget.recordWrite("s3", "b", 1, 2);
        expect(budget.findStreamToEnd()).toMatchInlineSnapshot(`
          {
            "account": "a",
            "bound": "account",
            "bytes": 600,
            "stream": "s1",
          }
        `);
    });

    // The settings may lower the process's memory while streams hold bytes.
    it("follows a change of its size with the next decision", () => {
        let size = maxBytes;
        const budget = new UnsentBudget<string>(() => size);
        budget.recordWrite("s1", "a", 600, 0);
        size = 500;
        expect(budget.findStreamToEnd()?.stream).toBe("s1");
    });
});
