import type { Disturbance } from "./records.js";

/** After a disturbance a router has this long to be in contact again; the platform's deployments name the figure. */
const contactMs = 3_000;

/** Tells when routers and targets were undisturbed, so that promises with a time bound hold for them. */
export class Calmness {
    public constructor(private readonly disturbances: readonly Disturbance[]) {}

    /** Whether nothing disturbed the router over the span. `except`: begin of disturbances that do not count. */
    public isRouterCalm(router: string, fromMs: number, toMs: number, except?: string): boolean {
        return !this.disturbances.some(
            ({ what, scope, ...span }) =>
                (scope === router || scope === "routers") &&
                (except === undefined || !what.startsWith(except)) &&
                isOverlapping(span, fromMs - contactMs, toMs),
        );
    }

    /** `except`: begins of disturbances that do not count. */
    public isTargetDisturbed(target: string, fromMs: number, toMs: number, except: readonly string[]): boolean {
        return this.disturbances.some(
            ({ what, scope, ...span }) =>
                scope === "targets" &&
                what.endsWith(` ${target}`) &&
                !except.some(begin => what.startsWith(begin)) &&
                isOverlapping(span, fromMs, toMs),
        );
    }

    /** Whether the router's process stood still within the span. */
    public isRouterPaused(router: string, fromMs: number, toMs: number): boolean {
        return this.disturbances.some(
            ({ what, scope, ...span }) =>
                scope === router && what.startsWith("router-pause") && isOverlapping(span, fromMs, toMs),
        );
    }

    public isAnyTargetDisturbed(fromMs: number, toMs: number): boolean {
        return this.disturbances.some(
            ({ scope, ...span }) => scope === "targets" && isOverlapping(span, fromMs - contactMs, toMs),
        );
    }
}

function isOverlapping(span: Pick<Disturbance, "fromMs" | "toMs">, fromMs: number, toMs: number): boolean {
    return span.fromMs <= toMs && span.toMs >= fromMs;
}
