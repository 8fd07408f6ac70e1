import { RouteTable, type RoutePattern } from "../structures/routeTable.js";

/** A route for streams with the services that receive its requests. */
export interface StreamRoute extends RoutePattern {
    /** Services to which new requests are sent. */
    readonly services: readonly string[];
}

interface FormerRoutes {
    readonly table: RouteTable<StreamRoute>;
    /** When a newer configuration replaced it. */
    readonly untilMs: number;
}

/** Maximum number of former tables; the oldest ones are evicted. */
const maxFormerTables = 16;

/** Tracks which services the routes named before, since a stream may have begun at any of them. */
export class RouteHistory {
    private readonly former: FormerRoutes[] = [];
    private current: { readonly text: string; readonly table: RouteTable<StreamRoute> } | undefined;
    /** Tables that were replaced before this time are no longer known. */
    private knownFromMs = Number.NEGATIVE_INFINITY;

    /** Records the routes of a new configuration. */
    public record(routes: readonly StreamRoute[], nowMs: number): void {
        const text = JSON.stringify(routes);
        if (text === this.current?.text) {
            return;
        }
        if (this.current !== undefined) {
            this.former.push({ table: this.current.table, untilMs: nowMs });
        }
        this.current = { text, table: new RouteTable(routes) };
        if (this.former.length > maxFormerTables) {
            this.knownFromMs = this.former.shift()?.untilMs ?? this.knownFromMs;
        }
    }

    /** Services that the request's route has named within the last `periodMs`; undefined if not all of them are known. */
    public listServices(host: string, path: string, periodMs: number, nowMs: number): readonly string[] | undefined {
        const fromMs = nowMs - periodMs;
        if (fromMs <= this.knownFromMs) {
            return undefined;
        }
        const former = this.former.filter(({ untilMs }) => untilMs >= fromMs).map(({ table }) => table);
        const tables = this.current === undefined ? former : [this.current.table, ...former];
        return [...new Set(tables.flatMap(table => table.find(host, path)?.services ?? []))];
    }
}
