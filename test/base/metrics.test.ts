import { createSocket } from "node:dgram";
import { once } from "node:events";
import { expect, it } from "vitest";
import { StatsdMetrics } from "../../src/base/metrics.js";

it("sends figures to StatsD with prefix and tags", async () => {
    const receiver = createSocket("udp4");
    receiver.bind(0, "127.0.0.1");
    await once(receiver, "listening");
    const address = { host: "127.0.0.1", port: receiver.address().port, prefix: "lynxarch." };
    const metrics = new StatsdMetrics(address, { daemon: "router-1" });
    const received = once(receiver, "message") as Promise<[Buffer]>;
    metrics.increment("refusals", { reason: "deadline" });
    const [message] = await received;
    metrics.dispose();
    receiver.close();
    expect(message.toString().trim()).toMatchInlineSnapshot(`"lynxarch.refusals:1|c|#daemon:router-1,reason:deadline"`);
});
