import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { FairQueue, type QueuedItem } from "../../../src/decisions/shares/fairQueue.js";

const names = ["a", "b", "c", "d"];

type Step =
    | { readonly type: "add"; readonly account: number; readonly long: boolean }
    | { readonly type: "remove"; readonly pick: number }
    | { readonly type: "update"; readonly account: number; readonly service: number }
    | { readonly type: "take"; readonly allowLong: boolean };

const step: fc.Arbitrary<Step> = fc.oneof(
    fc.record({ type: fc.constant("add" as const), account: fc.nat(3), long: fc.boolean() }),
    fc.record({ type: fc.constant("remove" as const), pick: fc.nat(50) }),
    fc.record({ type: fc.constant("update" as const), account: fc.nat(3), service: fc.nat(20) }),
    fc.record({ type: fc.constant("take" as const), allowLong: fc.boolean() }),
);

/** Compares each result of the queue with a linear search of a plain list. */
function checkAgainstList(steps: readonly Step[]): void {
    const queue = new FairQueue<QueuedItem>();
    const list: QueuedItem[] = [];
    const service = new Map(names.map(name => [name, 0]));
    const drop = (item: QueuedItem): void => void list.splice(list.indexOf(item), 1);
    steps.forEach((current, index) => {
        if (current.type === "add") {
            const clientAccount = names[current.account] ?? "a";
            const workClass = current.long ? "long" : "short";
            const item: QueuedItem = { id: `${index}`, clientAccount, workClass, cost: 1 + (index % 7) };
            queue.add(item, service.get(clientAccount) ?? 0, 1);
            list.push(item);
        } else if (current.type === "remove") {
            const item = list[current.pick % Math.max(1, list.length)];
            expect(queue.remove(item?.id ?? "none")).toBe(item);
            if (item !== undefined) {
                drop(item);
            }
        } else if (current.type === "update") {
            const clientAccount = names[current.account] ?? "a";
            service.set(clientAccount, current.service);
            queue.updateAccount(clientAccount, current.service);
        } else {
            const candidates = list.filter(item => current.allowLong || item.workClass === "short");
            const minService = Math.min(...candidates.map(item => service.get(item.clientAccount) ?? 0));
            const item = queue.take(current.allowLong);
            expect(item === undefined).toBe(candidates.length === 0);
            if (item !== undefined) {
                expect(service.get(item.clientAccount)).toBe(minService);
                const sameKind = candidates.filter(
                    other => other.clientAccount === item.clientAccount && other.workClass === item.workClass,
                );
                expect(sameKind[0]).toBe(item);
                drop(item);
            }
        }
        expect(queue.size).toBe(list.length);
        expect(queue.waitingCost).toBe(list.reduce((sum, item) => sum + item.cost, 0));
    });
}

describe("FairQueue", () => {
    it("takes the oldest item of a backlogged account with the least service after any sequence of additions and removals", () => {
        fc.assert(fc.property(fc.array(step, { maxLength: 120, size: "max" }), checkAgainstList), {
            seed: 2,
            numRuns: 200,
        });
    });

    // Neither short nor long work of an account may starve. Both classes of one account are backlogged; each receives
    // half of the account's cost.
    it("divides an account's cost evenly between short and long work", () => {
        const queue = new FairQueue<QueuedItem>();
        for (let index = 0; index < 60; index += 1) {
            queue.add({ id: `s${index}`, clientAccount: "a", workClass: "short", cost: 10 }, 0, 1);
            queue.add({ id: `l${index}`, clientAccount: "a", workClass: "long", cost: 50 }, 0, 1);
        }
        const order = Array.from({ length: 24 }, () => queue.take(true)?.workClass === "long");
        expect(order.map(isLong => (isLong ? "L" : "s")).join("")).toMatchInlineSnapshot(`"sLsssssLsssssLsssssLssss"`);
    });
});
