import { describe, expect, it } from "vitest";
import { hashFast } from "../../../src/base/hash.js";
import { TargetOwners } from "../../../src/decisions/placement/targetOwners.js";

const routerIds = Array.from({ length: 68 }, (...[, index]) => `router-${index}`);
const targetHashes = Array.from({ length: 84 }, (...[, index]) => hashFast(`target-${index}`));

describe("the owner of a target", () => {
    it("is the same at all routers with the same list of routers, and targets are spread over most routers", () => {
        const owners = new TargetOwners(() => routerIds);
        const reversed = new TargetOwners(() => [...routerIds].reverse());
        const ownerIds = targetHashes.map(hash => owners.find(hash, 0));
        expect(targetHashes.map(hash => reversed.find(hash, 0))).toEqual(ownerIds);
        expect(new Set(ownerIds).size).toBeGreaterThan(routerIds.length / 2);
    });

    // While an owner has failed or is unreachable, each request for its engines would otherwise wait for the timeout.
    it("is skipped for a longer time after each timeout, until it replies", () => {
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

    it("is undefined while all routers are skipped after a timeout", () => {
        const owners = new TargetOwners(() => ["a", "b"]);
        owners.recordTimeout("a", 0);
        owners.recordTimeout("b", 0);
        expect(owners.find(1, 1)).toBeUndefined();
    });
});
