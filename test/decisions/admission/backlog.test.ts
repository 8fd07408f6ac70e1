import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { Backlog } from "../../../src/decisions/admission/backlog.js";

const takeAll = (backlog: Backlog, count: number): readonly string[] =>
    Array.from({ length: count }, () => {
        const next = backlog.findNext();
        backlog.takeNext();
        return next?.requestId ?? "-";
    });

describe("Backlog", () => {
    it("schedules lanes by weight, whatever their length", () => {
        const backlog = new Backlog();
        Array.from({ length: 100 }).forEach((...[, index]) => backlog.add("long", 1, `long-${index}`));
        Array.from({ length: 4 }).forEach((...[, index]) => backlog.add("short", 1, `short-${index}`));
        Array.from({ length: 8 }).forEach((...[, index]) => backlog.add("heavy", 2, `heavy-${index}`));
        expect(takeAll(backlog, 16).join(" ")).toMatchInlineSnapshot(
            `"long-0 short-0 heavy-0 heavy-1 long-1 short-1 heavy-2 heavy-3 long-2 short-2 heavy-4 heavy-5 long-3 short-3 heavy-6 heavy-7"`,
        );
    });

    it("skips a blocked lane until its state changes", () => {
        const backlog = new Backlog();
        backlog.add("blocked", 1, "b1");
        backlog.add("free", 1, "f1");
        backlog.add("free", 1, "f2");
        backlog.stopNext();
        const before = takeAll(backlog, 3);
        backlog.handleLaneChanged("blocked");
        expect([before, takeAll(backlog, 2)]).toEqual([
            ["f1", "f2", "-"],
            ["b1", "-"],
        ]);
    });

    it("preserves each lane's order over any sequence of adds at either end, takes and removals", () => {
        const command = fc.record({
            kind: fc.constantFrom("add" as const, "addFirst" as const, "remove" as const, "take" as const),
            pick: fc.nat({ max: 100 }),
        });
        fc.assert(
            fc.property(fc.array(command, { maxLength: 150, size: "max" }), commands => {
                const backlog = new Backlog();
                const model: string[] = [];
                commands.forEach(({ kind, pick }, index) => {
                    const id = pick % 3 === 0 && index > 5 ? `r${index - 5}` : `r${index}`;
                    if (kind === "take") {
                        expect(backlog.findNext()?.requestId).toBe(model[0]);
                        backlog.takeNext();
                        model.shift();
                    } else if (kind === "remove") {
                        const [removed] = model.splice(pick % Math.max(1, model.length), 1);
                        backlog.remove(removed ?? "absent");
                    } else if (!model.includes(id)) {
                        backlog[kind]("lane", 1, id);
                        if (kind === "add") {
                            model.push(id);
                        } else {
                            model.unshift(id);
                        }
                    }
                });
                expect(backlog.size).toBe(model.length);
                expect(backlog.list("lane")).toEqual(model);
            }),
            { seed: 4, numRuns: 200 },
        );
    });
});
