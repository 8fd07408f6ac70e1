import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono, type Context } from "hono";
import type { CallerRequest, CallerRequests } from "./callerRequests.js";
import { createProblemHeaders, renderProblem, type Problem } from "./problem.js";

const modelsPath = "/v1/models";
const completionsPath = "/v1/chat/completions";

/** Builds the app that callers reach: the published chat API, plain services, health for the balancer. */
export function createCallerApp(requests: CallerRequests): Hono {
    const app = new Hono();
    app.get("/healthz", context => context.json({ status: "alive" }));
    app.get("/readyz", context =>
        requests.isReady() ? context.json({ status: "ready" }) : context.json({ status: "not-ready" }, 503),
    );
    app.get(modelsPath, context => answerModels(context, requests));
    app.post(completionsPath, async context => {
        await requests.handleChat(toCallerRequest(context, true));
        return RESPONSE_ALREADY_SENT;
    });
    app.post("/services/:service/idempotency-keys", async context => {
        await requests.handleKeyIssue(toCallerRequest(context, false), context.req.param("service"));
        return RESPONSE_ALREADY_SENT;
    });
    app.all("/services/:service/*", async context => {
        await requests.handlePlain(toCallerRequest(context, false), context.req.param("service"));
        return RESPONSE_ALREADY_SENT;
    });
    app.notFound(context => {
        const openAiShape = context.req.path.startsWith("/v1/");
        return createProblemResponse(createNotFoundProblem(context.req.path), openAiShape);
    });
    return app;
}

function toCallerRequest(context: Context, openAiShape: boolean): CallerRequest {
    const { incoming, outgoing } = context.env as unknown as HttpBindings;
    return {
        id: randomUUID(),
        incoming: incoming as IncomingMessage,
        outgoing: outgoing as ServerResponse,
        openAiShape,
    };
}

function answerModels(context: Context, requests: CallerRequests): Response {
    const models = requests.listModels(context.req.header("authorization"));
    return models.match(
        names =>
            context.json(
                { object: "list", data: names.map(id => ({ id, object: "model", created: 0, owned_by: "lynxarch" })) },
                200,
                { "x-request-id": randomUUID() },
            ),
        problem => createProblemResponse(problem, true),
    );
}

function createProblemResponse(problem: Problem, openAiShape: boolean): Response {
    const requestId = randomUUID();
    return new Response(renderProblem(problem, requestId, openAiShape), {
        status: problem.status,
        headers: createProblemHeaders(problem, requestId),
    });
}

function createNotFoundProblem(path: string): Problem {
    return {
        status: 404,
        code: "not-found",
        title: "There is nothing at this address",
        detail: path.slice(0, 200),
        execution: "not-run",
    };
}
