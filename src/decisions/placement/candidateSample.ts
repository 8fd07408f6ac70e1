/**
 * Selects the engines that are compared for a prompt.
 *
 * Load pattern: many routers choose simultaneously by reports that are older than the time between two prompts. If each compared all
 * engines, all routers would choose the engine that was reported idle. The best of a few random engines is nearly as good a choice and
 * distributes the prompts (power of two choices; Mitzenmacher, 2001, and with old information, 2000). Engines that have cached the
 * prompt's first shared part are always compared, and so is the preferred target of the shared part, where it is prefilled first.
 */
import type { Random } from "../../base/random.js";
import type { PlacedPart, PromptCandidate } from "./promptPlacement.js";

/** Number of engines drawn at random, with replacement. */
const drawnEngines = 3;

/** Selects the engines to compare. `preferred`: the preferred target of the prompt's shared part while no engine has cached it. */
export function pickCandidates<T extends PromptCandidate>(
    candidates: readonly T[],
    preferred: T | undefined,
    shared: readonly PlacedPart[],
    random: Random,
): readonly T[] {
    const first = shared[0]?.id;
    const picked = new Set(first === undefined ? [] : candidates.filter(candidate => candidate.hasPart(first)));
    if (preferred !== undefined) {
        picked.add(preferred);
    }
    for (let drawn = 0; drawn < Math.min(drawnEngines, candidates.length); drawn++) {
        picked.add(candidates[Math.floor(random.next() * candidates.length)]);
    }
    return [...picked];
}
