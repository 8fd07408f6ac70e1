import {
    createConfiguration,
    createPromptHeaders,
    findFreePort,
    GatewayFixture,
    waitUntil,
    type CallerResponse,
} from "../gatewayFixture.js";

/** What a caller received of a stream over all of its attempts. */
export interface CallerStream {
    /** Request ids of the attempts. */
    readonly ids: readonly string[];
    readonly responses: readonly CallerResponse[];
}

/** Summary of several streams. */
export interface StreamSummary {
    /** Streams with events of several versions. */
    readonly mixed: number;
    /** Streams whose last response is complete. */
    readonly complete: number;
    /** Codes of the routers' own last responses. */
    readonly refusals: readonly string[];
}

/** Time between two events of a target, long enough to interrupt a stream between them; milliseconds. */
const eventPauseMs = 40;
const eventsBeforeDisconnect = 2;
/** Less than clocks are advanced by in a test. */
const maxViewAgeSeconds = 0.1;
/** Topic in which the routers record the versions of services. */
export const versionTopic = "keyed.versions";

/** Routers in front of targets of several versions, and callers that resume streams. */
export class StreamFixture extends GatewayFixture {
    private readonly versions = new Map<string, string>();
    /** Time that callers allow for each request; milliseconds, undefined for that of most tests. */
    public deadlineMs: number | undefined;

    /** Starts this many targets of each version, and the routers. `configuration`: that of most tests by default. */
    public async startFleet(
        counts: Readonly<Record<string, number>>,
        routerCount: number,
        configuration?: object,
    ): Promise<void> {
        this.store.createdTopics.add(versionTopic);
        await this.start(configuration);
        for (const [version, count] of Object.entries(counts)) {
            await this.addVersion(version, count);
        }
        await this.addRouters(routerCount);
    }

    public async addRouters(count: number): Promise<void> {
        for (let index = 0; index < count; index++) {
            await this.addRouter({ metricsPort: await findFreePort() });
        }
        await this.waitForPeers();
    }

    /** Waits until each router knows all others. */
    public async waitForPeers(): Promise<void> {
        await waitUntil(() => this.routers.every(({ daemon }) => daemon.knownRouterCount === this.routers.length));
    }

    /** Waits until each router has read the targets' records since its clock was advanced. */
    public async waitForRecords(): Promise<void> {
        for (const { settings } of this.routers) {
            await waitUntil(async () => {
                const response = await fetch(`http://${settings.ip}:${settings.metricsPort}/metrics`);
                const age = /^lynxarch_targets_view_age_seconds (.+)$/m.exec(await response.text())?.[1];
                return Number(age) < maxViewAgeSeconds;
            });
        }
    }

    public async addVersion(version: string, count: number, service = "engines"): Promise<void> {
        for (let index = 0; index < count; index++) {
            const target = await this.addTarget("engines", `${version}-${this.targets.length}`, { version, service });
            target.eventPauseMs = eventPauseMs;
            this.versions.set(target.instanceId, version);
        }
    }

    /** Starts a target of the next version, removes all targets of the former one, and waits until all routers have read it. */
    public async promoteVersion(former: string, next: string): Promise<void> {
        await this.addVersion(next, 1);
        const added = this.targets[this.targets.length - 1].instanceId;
        for (const router of this.routers.keys()) {
            await waitUntil(() => this.hasVersion(router, added, next));
        }
        await this.removeVersion(former);
    }

    /** Removes all targets of a version, and waits until all routers have read it. */
    public async removeVersion(version: string): Promise<void> {
        const removed = [...this.versions].filter(([, other]) => other === version).map(([id]) => id);
        removed.forEach(id => this.store.write("keyed.servers", id, undefined));
        for (const router of this.routers.keys()) {
            for (const id of removed) {
                await waitUntil(async () => !(await this.hasVersion(router, id, version)));
            }
        }
    }

    /** Ends all routers without notice and starts as many others. */
    public async startRoutersAgain(): Promise<void> {
        await this.addRouters(this.endRouters());
    }

    /** Ends all routers without notice. Returns their number. */
    public endRouters(): number {
        const ended = this.routers.splice(0);
        ended.forEach(({ daemon }) => daemon.dispose());
        return ended.length;
    }

    /** Versions in the stored record of a service, by whether they have left; undefined without a record. */
    public readRecord(service = "engines"): Readonly<Record<string, "present" | "left">> | undefined {
        const record = this.store.read(versionTopic, service) as
            { readonly versions: readonly { readonly version: string; readonly last_seen?: string }[] } | undefined;
        return (
            record &&
            Object.fromEntries(
                record.versions.map(({ version, last_seen: lastSeen }) => [
                    version,
                    lastSeen === undefined ? "present" : "left",
                ]),
            )
        );
    }

    /** Waits until the stored record has these versions. */
    public async waitForRecord(versions: Readonly<Record<string, "present" | "left">>): Promise<void> {
        const expected = JSON.stringify(Object.entries(versions).sort());
        await waitUntil(() => JSON.stringify(Object.entries(this.readRecord() ?? {}).sort()) === expected);
    }

    /** Whether the router has read that the target has this version. */
    public async hasVersion(router: number, instanceId: string, version: string): Promise<boolean> {
        const { ip, metricsPort } = this.routers[router].settings;
        const response = await fetch(`http://${ip}:${metricsPort}/state`);
        const { targets } = (await response.json()) as { targets: readonly { id: string; version: string }[] };
        return targets.some(target => target.id === instanceId && target.version === version);
    }

    /** Sends a request for a stream; its caller disconnects after some events. */
    public async openStream(id: string, router: number, path = "/plan/x"): Promise<CallerStream> {
        const headers = this.createHeaders(id, id);
        const call = { path, headers, body: `body of ${id}`, disconnectAfterEvents: eventsBeforeDisconnect };
        return { ids: [id], responses: [await this.send(call, router)] };
    }

    /** Begins several streams at a router at the same time. Throws if one of them got no event, as on a machine with too much load. */
    public async openStreams(count: number, router: number, prefix = "s"): Promise<readonly CallerStream[]> {
        const streams = await Promise.all(
            Array.from({ length: count }, (...[, index]) => this.openStream(`${prefix}${index}`, router)),
        );
        const failed = streams.flatMap(({ responses }) => responses).find(({ status }) => status !== 200);
        if (failed !== undefined) {
            throw new Error(`a stream did not begin: ${failed.status} ${failed.body}`);
        }
        return streams;
    }

    /** Resumes a stream after the last received event. `isNamed`: whether the request names the first attempt. */
    public async resumeStream(stream: CallerStream, router: number, isNamed = true): Promise<CallerStream> {
        const [first] = stream.ids;
        const id = `${first}-${stream.ids.length}`;
        const received = stream.responses.map(({ body }) => body).join("");
        const headers = {
            ...this.createHeaders(id, first),
            "last-event-id": String(received.split("\n\n").length - 1),
            ...(isNamed ? { resumes: first } : {}),
        };
        const response = await this.send({ path: "/plan/x", headers, body: `body of ${first}` }, router);
        return { ids: [...stream.ids, id], responses: [...stream.responses, response] };
    }

    /** Resumes streams at the same time, in reverse order, so that they would be spread over the targets in another way. */
    public resumeStreams(
        streams: readonly CallerStream[],
        router: number,
        isNamed = true,
    ): Promise<readonly CallerStream[]> {
        return Promise.all([...streams].reverse().map(stream => this.resumeStream(stream, router, isNamed)));
    }

    /** Resumes streams, and those that are refused with a retry time once more after it, as callers do. */
    public async resumeStreamsWithRetries(
        streams: readonly CallerStream[],
        router: number,
        isNamed = true,
    ): Promise<readonly CallerStream[]> {
        let resumed = await this.resumeStreams(streams, router, isNamed);
        for (;;) {
            const retryTimes = resumed.map(({ responses }) => responses[responses.length - 1].headers["retry-after"]);
            if (retryTimes.every(time => time === undefined)) {
                return resumed;
            }
            const longestMs = Math.max(...retryTimes.map(time => Number(time ?? 0))) * 1_000;
            await new Promise(resolve => setTimeout(resolve, longestMs));
            resumed = await Promise.all(
                resumed.map((stream, index) =>
                    retryTimes[index] === undefined ? stream : this.resumeStream(stream, router, isNamed),
                ),
            );
        }
    }

    public describeStreams(streams: readonly CallerStream[]): StreamSummary {
        const last = streams.map(({ responses }) => responses[responses.length - 1]);
        return {
            mixed: streams.filter(stream => new Set(this.listVersions(stream)).size > 1).length,
            complete: last.filter(({ status, isIncomplete }) => status === 200 && !isIncomplete).length,
            refusals: last.filter(({ status }) => status !== 200).map(({ body }) => parseCode(body)),
        };
    }

    private createHeaders(id: string, part: string): Record<string, string> {
        const headers = createPromptHeaders(id, { "x-lynxarch-prefix-hash": `${part}:1000` });
        return this.deadlineMs === undefined
            ? headers
            : { ...headers, "x-lynxarch-deadline-ms": String(this.deadlineMs) };
    }

    /** Versions of the targets that ran the stream's requests. */
    private listVersions({ ids }: CallerStream): readonly string[] {
        return this.targets
            .filter(target => target.ran.some(request => ids.includes(request.id ?? "")))
            .map(target => this.versions.get(target.instanceId)!);
    }
}

/** Configuration in which the timeout of the route of most streams is `timeoutMs`. */
export function createShortConfiguration(timeoutMs: number): object {
    const { routes, ...others } = createConfiguration(1);
    const changed = (routes as readonly { readonly name: string }[]).map(route =>
        route.name === "r-plan" ? { ...route, timeout_ms: timeoutMs, goal_ms: timeoutMs } : route,
    );
    return { ...others, routes: changed };
}

function parseCode(body: string): string {
    return (JSON.parse(body) as { readonly code: string }).code;
}
