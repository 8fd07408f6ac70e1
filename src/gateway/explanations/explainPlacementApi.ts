import { createTRPCClient, httpLink } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import { Hono } from "hono";
import { ResultAsync } from "neverthrow";
import { LynxarchError } from "../../base/errors.js";
import { fetchBounded } from "../../control/boundedFetch.js";
import {
    placementAnswerSchema,
    placementQuestionSchema,
    type PlacementAnswer,
    type PlacementQuestion,
} from "./placementExplanation.js";

/** An operator's call to explain a placement failed. */
export class ExplainPlacementError extends LynxarchError {
    public readonly code = "explain-placement-failed";
}

/** Answers the calls. */
export interface PlacementExplanations {
    explain(question: PlacementQuestion): PlacementAnswer;
}

const endpoint = "/explain-placement";
/** Time-out of a call; milliseconds. */
const callTimeoutMs = 3_000;

const trpc = initTRPC.context<{ readonly explanations: PlacementExplanations }>().create();
const explanationRouter = trpc.router({
    explain: trpc.procedure.input(placementQuestionSchema).query(({ ctx, input }) => ctx.explanations.explain(input)),
});

/** Creates the app through which operators ask where a request would be placed. */
export function createExplainPlacementApp(explanations: PlacementExplanations): Hono {
    const app = new Hono();
    app.all(`${endpoint}/*`, context =>
        fetchRequestHandler({
            endpoint,
            req: context.req.raw,
            router: explanationRouter,
            createContext: () => ({ explanations }),
        }),
    );
    return app;
}

/** Asks the router at `address`. Errors: no response in time, or a response of another structure. */
export function fetchPlacementExplanation(
    address: string,
    question: PlacementQuestion,
): ResultAsync<PlacementAnswer, ExplainPlacementError> {
    const client = createTRPCClient<typeof explanationRouter>({
        links: [httpLink({ url: `http://${address}${endpoint}`, fetch: fetchBounded })],
    });
    const response = client.explain
        .query(question, { signal: AbortSignal.timeout(callTimeoutMs) })
        .then(value => placementAnswerSchema.parse(value));
    return ResultAsync.fromPromise(response, cause => {
        return new ExplainPlacementError(cause instanceof Error ? cause.message : String(cause), cause);
    });
}
