import type { GatewaySettings } from "../settings.js";
import type { TargetDirectory } from "../targetDirectory.js";

/** Settings that change which requests are granted. All are off when left out. */
export type GrantSettings = Partial<
    Pick<GatewaySettings, "fillsSpareCapacity" | "fillsReportedCapacity" | "limitsEngineMemory">
>;

/** Whether accounts beyond their share may use idle engines of the service. */
export function isSpareCapacityFilled(
    { fillsSpareCapacity = false, fillsReportedCapacity = false }: GrantSettings,
    directory: Pick<TargetDirectory, "hasSpeedReports">,
    service: string | undefined,
): boolean {
    return fillsSpareCapacity || (fillsReportedCapacity && service !== undefined && directory.hasSpeedReports(service));
}
