import type { GatewaySettings } from "./settings.js";

/** Host and port of `HOST:PORT`, as settings are checked to have it. */
export function parseAddress(address: string): readonly [host: string, port: number] {
    const [host, port] = address.split(":");
    return [host, Number(port)];
}

/** Addresses of the VMs whose routers are asked first. */
export function listSeedIps(settings: Pick<GatewaySettings, "seeds">): readonly string[] {
    return settings.seeds.map(seed => parseAddress(seed)[0]);
}
