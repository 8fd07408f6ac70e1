import type { ReadingShare } from "../decisions/admission/readingShare.js";
import type { AccountCharge } from "./accountCharge.js";
import type { AnswerTiming } from "./answerTiming.js";
import type { ServedRoute } from "./configuration.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { Selection } from "./targetSelector.js";

/** A request whose response was complete. */
export interface WholeAnswer {
    readonly selection: Selection | undefined;
    readonly route: ServedRoute;
    readonly charge: AccountCharge;
    readonly timing: AnswerTiming;
    /** Events of the stream that were sent to the caller. */
    readonly passedEvents: number;
}

/** The prefill share estimate for the engines of the selected service; undefined without a grant (plain services). */
export function findReadingShare(context: GatewayContext, selection: Selection | undefined): ReadingShare | undefined {
    return selection?.grant === undefined ? undefined : context.readingShares.find(selection.service.name);
}

/** Updates the estimates of output lengths and of the prefill share from a complete response. */
export function observeWholeAnswer(context: GatewayContext, answer: WholeAnswer): void {
    const { selection, route, charge, timing, passedEvents } = answer;
    charge.observeOutput(passedEvents, selection?.service.engine?.tokensPerEvent);
    if (selection?.grant !== undefined) {
        const isLate = timing.longestPauseMs > route.pauseObjectiveMs;
        findReadingShare(context, selection)?.observe(isLate, selection.grant.use);
    }
}
