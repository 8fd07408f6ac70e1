import type { WorkEnvelope } from "../control/frames.js";
import type { Refusal } from "../fleet/entities.js";
import type { AnswerFollower } from "./answerFollower.js";
import type { HeldWork } from "./heldWork.js";

/** Holds requests and offers them to the agent's core. */
export interface WorkHolder {
    createHeldWork(envelope: WorkEnvelope, body: Buffer, follower: AnswerFollower): HeldWork;
    offerWork(held: HeldWork): void;
}

/** Decides at the last moment whether a request may be given to the target. */
export interface StartGuard {
    /** Undefined: start. A refusal: it has not run and must not. */
    checkStart(envelope: WorkEnvelope): Refusal | undefined;
}
