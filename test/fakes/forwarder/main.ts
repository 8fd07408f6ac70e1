import { parseArgs } from "node:util";
import { Hono } from "hono";
import { listenAndReport, type StandInBindings } from "../standIn.js";
import { Route, type Replacement, type RouteMode } from "./route.js";

const { values } = parseArgs({ options: { port: { type: "string", default: "0" } } });
const routes = new Map<string, Route>();
const app = new Hono<StandInBindings>();

app.post("/routes", async context => {
    const asked = await context.req.json<{ name: string; to: string; port?: number; replacements?: Replacement[] }>();
    const [host, port] = asked.to.split(":");
    const route = new Route(host ?? "127.0.0.1", Number(port), asked.replacements ?? []);
    routes.set(asked.name, route);
    return context.json({ port: await route.listen(asked.port ?? 0) });
});
/** Sets the mode of every route whose name matches the pattern, a regular expression. */
app.post("/modes", async context => {
    const asked = await context.req.json<{ pattern: string; mode: RouteMode }>();
    const pattern = new RegExp(asked.pattern);
    const names = [...routes.keys()].filter(name => pattern.test(name));
    names.forEach(name => routes.get(name)?.setMode(asked.mode));
    return context.json({ names });
});
app.get("/routes", context =>
    context.json(Object.fromEntries([...routes].map(([name, route]) => [name, route.describe()]))),
);

listenAndReport(app, Number(values.port));
