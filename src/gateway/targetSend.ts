import type { GatewayContext } from "./gatewayContext.js";
import type { Selection } from "./targetSelector.js";
import type { RequestHead } from "./wire.js";

/** Keeps the books of one send: what waits and runs at its target, and what is learnt from how it ends. */
export class TargetSend {
    private readonly startedAtMs: number;
    private readonly newParts: readonly string[];
    private isWaiting = true;
    private isOver = false;
    public firstOutputAtMs: number | undefined;

    public constructor(
        private readonly context: GatewayContext,
        private readonly selection: Selection,
        head: RequestHead,
        private readonly sendId: string,
    ) {
        const { target, newTokens } = selection;
        this.startedAtMs = context.clock.nowMs();
        target.ownRunning += 1;
        target.ownWaitingTokens += newTokens;
        target.cold.recordSend(this.startedAtMs);
        target.circuit.observeStart(sendId);
        this.newParts = newTokens > 0 ? this.recordParts(head) : [];
    }

    public handleFirstOutput(): void {
        const { target, tokensAhead, service } = this.selection;
        this.firstOutputAtMs = this.context.clock.nowMs();
        this.endWaiting();
        target.circuit.observeFirstOutput();
        if (tokensAhead > 0) {
            const tookMs = this.firstOutputAtMs - this.startedAtMs;
            this.context.firstTokenModels.find(service.name).observe(tokensAhead, tookMs);
        }
    }

    /** The target answered, with a success or a failure of its own. */
    public handleAnswered(isSuccess: boolean): void {
        const { target } = this.selection;
        if (isSuccess) {
            target.circuit.observeSuccess();
            if (this.selection.tokensAhead === 0) {
                target.observeServiceTime(this.context.clock.nowMs() - this.startedAtMs);
            }
        } else {
            target.circuit.observeNeutralEnd(this.sendId);
        }
        this.end();
    }

    /** The target could not be reached, broke off or went silent. */
    public handleFailed(): void {
        const nowMs = this.context.clock.nowMs();
        const { target } = this.selection;
        if (target.circuit.observeFailure(this.sendId, nowMs)) {
            this.context.logger.write("warn", "a target is paused after failures", { target: target.id });
        }
        this.removeParts();
        this.end();
    }

    /** The send ended without telling anything of the target. */
    public handleNeutral(): void {
        this.selection.target.circuit.observeNeutralEnd(this.sendId);
        if (this.firstOutputAtMs === undefined) {
            this.removeParts();
        }
        this.end();
    }

    private recordParts(head: RequestHead): readonly string[] {
        const { target } = this.selection;
        const shared = head.promptParts.slice(0, -1);
        const missing = shared.filter(part => !target.hasPart(part.id));
        for (const part of head.promptParts) {
            target.recordPart(part.id, part.tokens);
        }
        for (const part of missing) {
            this.context.peers.recordRead(target.id, part.id, part.tokens);
        }
        return missing.map(part => part.id);
    }

    /** What was to be read has perhaps not been: taken for held, the next request would wait longer than expected. */
    private removeParts(): void {
        for (const id of this.newParts) {
            this.selection.target.removePart(id);
        }
    }

    private endWaiting(): void {
        if (this.isWaiting) {
            this.isWaiting = false;
            this.selection.target.ownWaitingTokens -= this.selection.newTokens;
        }
    }

    private end(): void {
        if (this.isOver) {
            return;
        }
        this.isOver = true;
        this.endWaiting();
        this.selection.target.ownRunning -= 1;
    }
}
