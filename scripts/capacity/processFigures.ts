import { readFileSync } from "node:fs";

const bytesPerMiB = 1_048_576;
const pageBytes = 4_096;
const ticksPerSecond = 100;
/** Place of the user time among the fields after the command's name (proc(5)); the system time follows it. */
const userField = 11;

/** Processor time that a process has taken; seconds. */
export function readCpuSeconds(pid: number | undefined): number {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[userField]) + Number(fields[userField + 1])) / ticksPerSecond;
}

/** Resident memory of a process; MiB. */
export function readResidentMiB(pid: number | undefined): number {
    return (Number(readFileSync(`/proc/${pid}/statm`, "utf8").split(" ")[1]) * pageBytes) / bytesPerMiB;
}
