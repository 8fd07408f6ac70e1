/**
 * Which engines are compared for a prompt.
 *
 * Load pattern: many routers choose at once by reports that are older than the time between two prompts. Comparing all engines,
 * all of them choose the one that was reported idle. The better of a few random ones is nearly as good a choice and spreads
 * them (power of two choices; Mitzenmacher, 2001, and with old information, 2000). Engines that keep a shared part of the
 * prompt are compared in any case, and so is the part's home, where it is read first.
 */
import type { Random } from "../../base/random.js";
import type { PlacedPart, PromptCandidate } from "./promptPlacement.js";

/** Engines drawn at random. */
const drawnEngines = 3;

/** The engines to compare; `home`: where the prompt's shared part belongs while no engine keeps it. */
export function pickCandidates<T extends PromptCandidate>(
    candidates: readonly T[],
    home: T | undefined,
    shared: readonly PlacedPart[],
    random: Random,
): readonly T[] {
    const first = shared[0]?.id;
    const picked = new Set(first === undefined ? [] : candidates.filter(candidate => candidate.hasPart(first)));
    if (home !== undefined) {
        picked.add(home);
    }
    for (let drawn = 0; drawn < Math.min(drawnEngines, candidates.length); drawn++) {
        picked.add(candidates[Math.floor(random.next() * candidates.length)]);
    }
    return [...picked];
}
