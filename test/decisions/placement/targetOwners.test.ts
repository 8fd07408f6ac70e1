import { describe, expect, it } from "vitest";
import { hashFast } from "../../../src/base/hash.js";
import { TargetOwners } from "../../../src/decisions/placement/targetOwners.js";

const routerIds = Array.from({ length: 68 }, (...[, index]) => `router-${index}`);
const targetHashes = Array.from({ length: 84 }, (...[, index]) => hashFast(`target-${index}`));

describe("the owner of a target", () => {
    it("is the same for all routers that know the same ones, and most routers own something", () => {
        const owners = new TargetOwners(() => routerIds);
        const others = new TargetOwners(() => [...routerIds].reverse());
        const found = targetHashes.map(hash => owners.find(hash, 0));
        expect(targetHashes.map(hash => others.find(hash, 0))).toEqual(found);
        expect(new Set(found).size).toBeGreaterThan(routerIds.length / 2);
    });

    // While an owner is dead or cut off, each request for its engines would wait out the timeout.
    it("is passed over for longer each time it does not answer, until it does", () => {
        const owners = new TargetOwners(() => routerIds);
        const [hash] = targetHashes;
        const first = owners.find(hash, 0)!;
        owners.recordTimeout(first, 0);
        const second = owners.find(hash, 100);
        const again = owners.find(hash, 600);
        owners.recordTimeout(first, 600);
        const later = owners.find(hash, 1_500);
        owners.recordReply(first);
        expect([second !== first, again === first, later === second, owners.find(hash, 1_501) === first]).toEqual([
            true,
            true,
            true,
            true,
        ]);
    });

    it("is nobody while all that could be it are silent", () => {
        const owners = new TargetOwners(() => ["a", "b"]);
        owners.recordTimeout("a", 0);
        owners.recordTimeout("b", 0);
        expect(owners.find(1, 1)).toBeUndefined();
    });
});
