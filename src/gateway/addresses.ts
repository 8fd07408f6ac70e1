import type { GatewaySettings } from "./settings.js";

/** Host and port of an address `HOST:PORT`; the format has been validated with the settings. */
export function parseAddress(address: string): readonly [host: string, port: number] {
    const [host, port] = address.split(":");
    return [host, Number(port)];
}

/** IP addresses of the seed routers, which a starting router contacts first. */
export function listSeedIps(settings: Pick<GatewaySettings, "seeds">): readonly string[] {
    return settings.seeds.map(seed => parseAddress(seed)[0]);
}
