import type { WorkFrame } from "../control/frames.js";

/** Takes the frames of an answer in order. The promise settles when the taker can bear more. */
export interface AnswerFollower {
    write(frame: WorkFrame): Promise<void>;
    /** No frame follows. */
    close(): void;
}
