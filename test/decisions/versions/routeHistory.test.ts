import { describe, expect, it } from "vitest";
import { RouteHistory } from "../../../src/decisions/versions/routeHistory.js";

const host = "fleet.example";
const periodMs = 1_000;

function createRoute(service: string, pathPrefix = "/plan/"): { host: string; pathPrefix: string; services: string[] } {
    return { host, pathPrefix, services: [service] };
}

describe("the services that a route has named within a period", () => {
    it("include a former one until the period has passed since its removal", () => {
        const history = new RouteHistory();
        history.record([createRoute("a")], 0);
        history.record([createRoute("b")], 500);
        const named = [1_500, 1_501].map(nowMs => history.listServices(host, "/plan/x", periodMs, nowMs));
        expect(named).toEqual([["b", "a"], ["b"]]);
    });

    // A new route for a part of the paths takes over streams that began at the service of the wider one.
    it("include that of a wider route that matched the path before", () => {
        const history = new RouteHistory();
        history.record([createRoute("a")], 0);
        history.record([createRoute("a"), createRoute("b", "/plan/x/")], 500);
        expect(history.listServices(host, "/plan/x/1", periodMs, 600)).toEqual(["b", "a"]);
    });

    // An evicted table could otherwise hide the service that began a stream.
    it("are unknown if the routes have changed more often than is tracked", () => {
        const history = new RouteHistory();
        for (let index = 0; index < 18; index++) {
            history.record([createRoute(`s${index}`)], index);
        }
        const named = [1_001, 1_002].map(nowMs => history.listServices(host, "/plan/x", periodMs, nowMs)?.length);
        expect(named).toEqual([undefined, 17]);
    });

    it("stay the same after a change that concerns no route", () => {
        const history = new RouteHistory();
        for (let index = 0; index < 40; index++) {
            history.record([createRoute("a")], index);
        }
        expect(history.listServices(host, "/plan/x", periodMs, 100)).toEqual(["a"]);
    });
});
