import { randomUUID } from "node:crypto";
import { Hono, type Context } from "hono";
import { streamSSE } from "hono/streaming";
import type { EngineFault, EngineModel } from "./engineModel.js";
import type { ChatRequest, EngineRun } from "./engineRun.js";
import type { StandInBindings, StandInRecorder } from "../standIn.js";

type EngineContext = Context<StandInBindings>;

/** HTTP side of the stand-in engine; the protocol is in the notes of test/fakes. */
export function createEngineApp(model: EngineModel, recorder: StandInRecorder): Hono<StandInBindings> {
    const app = new Hono<StandInBindings>();
    app.post("/v1/chat/completions", context => handleChat(context, model));
    app.get("/v1/models", context =>
        context.json({ object: "list", data: model.listModels().map(id => ({ id, object: "model" })) }),
    );
    app.get("/streams/:id", context => {
        const run = model.find(context.req.param("id"));
        const from = Number(context.req.query("from") ?? 0);
        return run === undefined
            ? context.json({ error: "no such stream" }, 404)
            : sendStream(context, model, run, from);
    });
    app.delete("/streams/:id", context => {
        const run = model.find(context.req.param("id"));
        if (run === undefined) {
            return context.json({ error: "no such stream" }, 404);
        }
        model.cancel(run);
        return context.json({ state: run.state });
    });
    app.get("/load", context => context.json(model.getLoad()));
    app.post("/orders", async context => {
        const order = await context.req.json<{ kind: string; name: string; fencing: number }>();
        const taken = model.takeOrder(order.kind, order.name, order.fencing);
        return context.json({ highest: taken.highest }, taken.accepted ? 200 : 409);
    });
    app.get("/orders", context => context.json({ orders: model.listOrders() }));
    app.get("/cache-events", context => {
        return context.json({ events: model.cache.listEvents(Number(context.req.query("after") ?? 0)) });
    });
    app.post("/faults", async context => {
        const fault = await context.req.json<{ mode: EngineFault; factor?: number }>();
        model.setFault(fault.mode, fault.factor ?? 10);
        return context.json({ mode: fault.mode });
    });
    app.get("/runs", context => context.json(model.describeRuns()));
    app.get("/events", context => context.json({ events: recorder.list() }));
    return app;
}

async function handleChat(context: EngineContext, model: EngineModel): Promise<Response> {
    const request = await context.req.json<ChatRequest>();
    if (!model.hasModel(request.model)) {
        const error = { message: `no model ${request.model}`, type: "invalid_request_error", code: "model_not_found" };
        return context.json({ error }, 404);
    }
    if (model.isRefusing) {
        return context.json({ error: { message: "overloaded", type: "server_error", code: "overloaded" } }, 503);
    }
    const run = model.start(context.req.header("x-request-id") ?? randomUUID(), request);
    return request.stream === true ? sendStream(context, model, run, 0) : sendWhole(context, model, run);
}

async function sendWhole(context: EngineContext, model: EngineModel, run: EngineRun): Promise<Response> {
    run.readers++;
    const leave = (): void => model.cancel(run);
    context.env.outgoing.once("close", leave);
    while (run.isOpen) {
        await waitForAdvance(run);
    }
    context.env.outgoing.off("close", leave);
    run.readers--;
    if (run.state !== "completed") {
        context.env.outgoing.destroy();
    }
    return context.json(run.buildWhole());
}

function sendStream(context: EngineContext, model: EngineModel, run: EngineRun, from: number): Response {
    context.header("x-stream-id", run.id);
    run.readers++;
    const epoch = run.connectionEpoch;
    return streamSSE(context, async stream => {
        let next = from;
        let left = false;
        stream.onAbort(() => {
            left = true;
            run.fireAdvanced();
        });
        for (;;) {
            for (; next < run.chunks.length && !left; next++) {
                await stream.writeSSE({ data: run.chunks[next] ?? "" });
            }
            if (left || !run.isOpen || run.connectionEpoch !== epoch) {
                break;
            }
            await waitForAdvance(run);
        }
        if (run.state === "broken" || run.connectionEpoch !== epoch) {
            context.env.outgoing.destroy();
        }
        model.releaseReader(run);
    });
}

function waitForAdvance(run: EngineRun): Promise<void> {
    return new Promise(resolve => {
        const subscription = run.onDidAdvance(() => {
            subscription.dispose();
            resolve();
        });
    });
}
