import { StatsD } from "hot-shots";
import type { Disposable } from "./lifecycle.js";

/** Labels of a figure; few values each, never a request id. */
export type MetricTags = Readonly<Record<string, string>>;

/** Takes figures. */
export interface Metrics extends Disposable {
    increment(name: string, tags?: MetricTags, by?: number): void;
    setGauge(name: string, value: number, tags?: MetricTags): void;
    recordTiming(name: string, ms: number, tags?: MetricTags): void;
}

/** Where a StatsD daemon listens. */
export interface StatsdAddress {
    readonly host: string;
    readonly port: number;
    readonly prefix: string;
}

/** Sends figures to StatsD over UDP. */
export class StatsdMetrics implements Metrics {
    private readonly client: StatsD;

    public constructor(address: StatsdAddress, globalTags: MetricTags) {
        this.client = new StatsD({
            host: address.host,
            port: address.port,
            prefix: address.prefix,
            globalTags: { ...globalTags },
            // Figures are sent over UDP and may be lost; a failure there must never reach a request.
            errorHandler: () => undefined,
        });
    }

    public increment(name: string, tags: MetricTags = {}, by = 1): void {
        this.client.increment(name, by, { ...tags });
    }

    public setGauge(name: string, value: number, tags: MetricTags = {}): void {
        this.client.gauge(name, value, { ...tags });
    }

    public recordTiming(name: string, ms: number, tags: MetricTags = {}): void {
        this.client.timing(name, ms, { ...tags });
    }

    public dispose(): void {
        this.client.close(() => undefined);
    }
}

/** Drops every figure; used without a StatsD address. */
export class NoopMetrics implements Metrics {
    public increment(): void {
        // No receiver is configured.
    }

    public setGauge(): void {
        // No receiver is configured.
    }

    public recordTiming(): void {
        // No receiver is configured.
    }

    public dispose(): void {
        // Nothing is held.
    }
}
