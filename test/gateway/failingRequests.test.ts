import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { PlatformHeaders } from "../../platform/headers.js";
import type { HeaderCodec } from "../../src/gateway/wire.js";
import { createPromptHeaders, findFreePort, GatewayFixture, waitUntil } from "./gatewayFixture.js";

type CodecCall = Exclude<keyof HeaderCodec, "encodeRouterResponse">;

const fixture = { current: new GatewayFixture() };
/** Fewer than the failures that pause a target. */
const fewRequests = 3;
/** More than the slots of a target: each grant takes one of them until its end is reported. */
const manyRequests = 10;

beforeEach(async () => {
    fixture.current = new GatewayFixture();
    await fixture.current.start();
});

afterEach(() => fixture.current.dispose());

/** Throws in one of its calls, while {@link isFailing} is set. */
class FailingCodec extends PlatformHeaders {
    public isFailing = true;

    public constructor(private readonly failingCall: CodecCall) {
        super();
    }

    public override decodeRequest(
        ...args: Parameters<HeaderCodec["decodeRequest"]>
    ): ReturnType<HeaderCodec["decodeRequest"]> {
        this.fail("decodeRequest");
        return super.decodeRequest(...args);
    }

    public override encodeForTarget(...args: Parameters<HeaderCodec["encodeForTarget"]>): string[] {
        this.fail("encodeForTarget");
        return super.encodeForTarget(...args);
    }

    public override decodeResponse(
        ...args: Parameters<HeaderCodec["decodeResponse"]>
    ): ReturnType<HeaderCodec["decodeResponse"]> {
        this.fail("decodeResponse");
        return super.decodeResponse(...args);
    }

    public override encodeForCaller(
        ...args: Parameters<HeaderCodec["encodeForCaller"]>
    ): Record<string, string | string[]> {
        this.fail("encodeForCaller");
        return super.encodeForCaller(...args);
    }

    private fail(call: CodecCall): void {
        if (this.isFailing && call === this.failingCall) {
            throw new Error(`failing ${call}`);
        }
    }
}

/** Requests in progress at targets as the router counts them. */
async function countRunning(metricsPort: number): Promise<number> {
    const response = await fetch(`http://127.0.0.1:${metricsPort}/state`);
    const { targets } = (await response.json()) as {
        readonly targets: readonly { readonly ownRunning: number }[];
    };
    return targets.reduce((sum, { ownRunning }) => sum + ownRunning, 0);
}

async function countOpenRequests(metricsPort: number): Promise<number> {
    const response = await fetch(`http://127.0.0.1:${metricsPort}/metrics`);
    return Number(/^lynxarch_open_requests (\d+)$/m.exec(await response.text())?.[1]);
}

describe("an exception while a request is processed", () => {
    // Without a response the caller of a request that must not be repeated could not retry one that was never sent; a count that is not
    // given back would keep the target's place taken.
    it.each([
        ["decodeRequest", "/book/x", "app", 500, 0, manyRequests],
        ["encodeForTarget", "/book/x", "app", 503, 0, manyRequests],
        ["encodeForTarget", "/once/x", "engines", 503, 0, manyRequests],
        ["decodeResponse", "/book/x", "app", 502, 3, fewRequests],
        ["decodeResponse", "/once/x", "engines", 502, 3, fewRequests],
        ["encodeForCaller", "/book/x", "app", 502, 3, fewRequests],
        ["encodeForCaller", "/once/x", "engines", 502, 3, fewRequests],
    ] as const)("in %s of %s (%s) is answered with %d, and nothing stays in flight", async (...row) => {
        const [call, path, service, status, received, requests] = row;
        const codec = new FailingCodec(call);
        fixture.current.codec = codec;
        const target = await fixture.current.addTarget(service, "target-1");
        const metricsPort = await findFreePort();
        await fixture.current.addRouter({ metricsPort });
        const statuses = [];
        for (let index = 0; index < requests; index++) {
            const response = await fixture.current.send({ path, headers: createPromptHeaders(`a${index}`), body: "b" });
            statuses.push(response.status);
        }
        expect({ statuses: [...new Set(statuses)], received: target.received.length }).toEqual({
            statuses: [status],
            received,
        });
        expect(await countRunning(metricsPort)).toBe(0);
        await waitUntil(async () => (await countOpenRequests(metricsPort)) === 0);
        codec.isFailing = false;
        const later = await fixture.current.send({ path, headers: createPromptHeaders("b1"), body: "b" });
        expect(later.status).toBe(200);
    });
});
