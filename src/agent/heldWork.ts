import { CancellationTokenSource } from "../base/cancellation.js";
import { Emitter } from "../base/event.js";
import type { WorkEnvelope, WorkFrame } from "../control/frames.js";
import type { AnswerFollower } from "./answerFollower.js";

/** A request that the agent holds: its body, who follows its answer, and the way to stop its run. */
export class HeldWork {
    public readonly cancellation = new CancellationTokenSource();
    private readonly followers: AnswerFollower[] = [];
    private readonly closeEmitter = new Emitter<WorkFrame>();
    private readonly writeEmitter = new Emitter<WorkFrame>();

    /** A frame is on its way to the followers. */
    public readonly onDidWrite = this.writeEmitter.onDidFire;
    /** The last frame, before the followers get it. */
    public readonly onWillClose = this.closeEmitter.onDidFire;

    public constructor(
        public readonly envelope: WorkEnvelope,
        public readonly body: Buffer,
    ) {}

    public add(follower: AnswerFollower): void {
        this.followers.push(follower);
    }

    /** Drops a follower; returns whether any is left. */
    public remove(follower: AnswerFollower): boolean {
        const index = this.followers.indexOf(follower);
        if (index >= 0) {
            this.followers.splice(index, 1);
        }
        return this.followers.length > 0;
    }

    public async write(frame: WorkFrame): Promise<void> {
        this.writeEmitter.fire(frame);
        await Promise.all(this.followers.map(follower => follower.write(frame)));
    }

    /** Writes the last frame and closes all followers. */
    public async close(frame: WorkFrame): Promise<void> {
        this.closeEmitter.fire(frame);
        await this.write(frame);
        for (const follower of this.followers.splice(0)) {
            follower.close();
        }
        this.cancellation.dispose();
        this.closeEmitter.dispose();
        this.writeEmitter.dispose();
    }
}
