import { parseArgs } from "node:util";
import { SystemClock } from "../../../src/base/clock.js";
import { listenAndReport, StandInRecorder } from "../standIn.js";
import { EngineModel } from "./engineModel.js";
import { createEngineApp } from "./engineServer.js";

const { values } = parseArgs({
    options: {
        port: { type: "string", default: "0" },
        models: { type: "string", default: "model-a" },
        target: { type: "string", default: "engine" },
        "max-concurrent": { type: "string", default: "8" },
        "cold-limit": { type: "string", default: "2" },
        "cold-ms": { type: "string", default: "1000" },
        "token-ms": { type: "string", default: "10" },
        "load-lag-ms": { type: "string", default: "500" },
        "resume-ms": { type: "string", default: "5000" },
        "checks-fencing": { type: "boolean", default: false },
        "events-file": { type: "string" },
    },
});

const clock = new SystemClock();
const recorder = new StandInRecorder(`engine-${values.target}`, clock, values["events-file"]);
const model = new EngineModel(
    {
        target: values.target,
        models: values.models.split(","),
        maxConcurrent: Number(values["max-concurrent"]),
        coldLimit: Number(values["cold-limit"]),
        coldMs: Number(values["cold-ms"]),
        tokenMs: Number(values["token-ms"]),
        loadLagMs: Number(values["load-lag-ms"]),
        resumeMs: Number(values["resume-ms"]),
        checksFencing: values["checks-fencing"],
    },
    clock,
    recorder,
);
listenAndReport(createEngineApp(model, recorder), Number(values.port));
