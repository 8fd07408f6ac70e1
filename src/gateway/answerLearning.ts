import type { ReadingShare } from "../decisions/admission/readingShare.js";
import type { AccountCharge } from "./accountCharge.js";
import type { AnswerTiming } from "./answerTiming.js";
import type { ServedRoute } from "./configuration.js";
import type { GatewayContext } from "./gatewayContext.js";
import type { Selection } from "./targetSelector.js";

/** What is known of a request whose answer was whole. */
export interface WholeAnswer {
    readonly selection: Selection | undefined;
    readonly route: ServedRoute;
    readonly charge: AccountCharge;
    readonly timing: AnswerTiming;
    /** Events of the stream that went to the caller. */
    readonly passedEvents: number;
}

/** What is learnt of the engines of a request's service; undefined for plain services. */
export function findReadingShare(context: GatewayContext, selection: Selection | undefined): ReadingShare | undefined {
    return selection?.grant === undefined ? undefined : context.readingShares.find(selection.service.name);
}

/** Learns from a whole answer how long outputs are, and whether engines were given too much. */
export function observeWholeAnswer(context: GatewayContext, answer: WholeAnswer): void {
    const { selection, route, charge, timing, passedEvents } = answer;
    charge.observeOutput(passedEvents, selection?.service.engine?.tokensPerEvent);
    if (selection?.grant !== undefined) {
        const isLate = timing.longestPauseMs > route.pauseObjectiveMs;
        findReadingShare(context, selection)?.observe(isLate, selection.grant.use);
    }
}
