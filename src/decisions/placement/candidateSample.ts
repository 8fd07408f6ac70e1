/**
 * Selects the engines that are compared for a prompt.
 *
 * Load pattern: many routers choose simultaneously by reports that are older than the time between two prompts. If each compared all
 * engines, all routers would choose the engine that was reported idle. The best of a few random engines is nearly as good a choice and
 * distributes the prompts (power of two choices; Mitzenmacher, 2001, and with old information, 2000). Engines that have cached the
 * prompt's first shared part are always compared, and so is the preferred target of the shared part, where it is prefilled first.
 *
 * Engines of known different speeds are drawn in proportion to their speeds: drawn evenly, a third of the samples of six engines of which
 * two are fast would have slow ones only, and the slow ones would get more prompts than they can prefill while the fast ones are idle.
 */
import type { Random } from "../../base/random.js";
import { isOpenLocalEngine, type LocalRequest } from "./localEngines.js";
import type { PlacedPart, PromptCandidate } from "./promptPlacement.js";

/** Number of engines drawn at random, with replacement. */
const drawnEngines = 3;
/**
 * The same among engines of different speeds: engines that are slow at the moment are in the sample as well. With four draws among six engines,
 * of which a seventh was slow, the 95th percentile of whole responses was up to 0.08 of the one with exact knowledge higher.
 */
const drawnUnevenEngines = 6;

/**
 * Selects the engines to compare. `preferred`: the preferred target of the prompt's shared part while no engine has cached it; `local`: an
 * engine of the request's data centre is always compared where one has free capacity.
 */
export function pickCandidates<T extends PromptCandidate>(
    candidates: readonly T[],
    preferred: T | undefined,
    shared: readonly PlacedPart[],
    random: Random,
    local?: LocalRequest,
): readonly T[] {
    const first = shared[0]?.id;
    const picked = new Set(first === undefined ? [] : candidates.filter(candidate => candidate.hasPart(first)));
    if (preferred !== undefined) {
        picked.add(preferred);
    }
    const isUneven = candidates.some(candidate => candidate.speedFactor !== 1);
    const createDrawOf = isUneven ? createWeightedDraw : createDraw;
    const draw = createDrawOf(candidates, random);
    const count = Math.min(isUneven ? drawnUnevenEngines : drawnEngines, candidates.length);
    for (let drawn = 0; drawn < count; drawn++) {
        picked.add(draw());
    }
    if (local !== undefined && ![...picked].some(candidate => isOpenLocalEngine(candidate, local))) {
        const open = candidates.filter(candidate => isOpenLocalEngine(candidate, local));
        if (open.length > 0) {
            picked.add(createDrawOf(open, random)());
        }
    }
    return [...picked];
}

function createDraw<T extends PromptCandidate>(candidates: readonly T[], random: Random): () => T {
    return () => candidates[Math.floor(random.next() * candidates.length)];
}

/** Draws engines in proportion to their speeds. */
function createWeightedDraw<T extends PromptCandidate>(candidates: readonly T[], random: Random): () => T {
    const totalSpeed = candidates.reduce((sum, candidate) => sum + 1 / candidate.speedFactor, 0);
    return () => {
        let point = random.next() * totalSpeed;
        return candidates.find(candidate => (point -= 1 / candidate.speedFactor) < 0) ?? candidates[0];
    };
}
