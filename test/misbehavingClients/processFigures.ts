import { readFileSync, readdirSync } from "node:fs";

const kilobytesPerMb = 1_024;

/** Largest resident memory that a process has had; megabytes. */
export function readPeakMemoryMb(pid: number): number {
    const kilobytes = /VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1];
    return Math.round(Number(kilobytes ?? 0) / kilobytesPerMb);
}

/** Number of descriptors that a process has open. */
export function countDescriptors(pid: number): number {
    return readdirSync(`/proc/${pid}/fd`).length;
}
