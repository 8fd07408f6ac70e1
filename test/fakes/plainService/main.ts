import { parseArgs } from "node:util";
import { SystemClock } from "../../../src/base/clock.js";
import { listenAndReport, StandInRecorder } from "../standIn.js";
import { PlainService } from "./plainServiceServer.js";

const { values } = parseArgs({
    options: {
        port: { type: "string", default: "0" },
        target: { type: "string", default: "plain" },
        "delay-ms": { type: "string", default: "0" },
        "events-file": { type: "string" },
    },
});

const clock = new SystemClock();
const recorder = new StandInRecorder(`service-${values.target}`, clock, values["events-file"]);
const service = new PlainService(values.target, Number(values["delay-ms"]), clock, recorder);
listenAndReport(service.createApp(), Number(values.port));
