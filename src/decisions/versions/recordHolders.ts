import { hashFast, mixHashes } from "../../base/hash.js";

/**
 * Selects the routers that hold a stream's record by rendezvous hashing. Routers with the same view of the fleet select the same ones
 * without exchanging messages; while their views differ by a few routers, the selections still overlap.
 */
export function selectRecordHolders(key: string, routerIds: readonly string[], count: number): readonly string[] {
    const keyHash = hashFast(key);
    return routerIds
        .map(id => ({ id, weight: mixHashes(keyHash, hashFast(id)) }))
        .sort((a, b) => b.weight - a.weight)
        .slice(0, count)
        .map(({ id }) => id);
}
