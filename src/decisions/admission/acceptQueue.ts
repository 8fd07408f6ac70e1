/** Connections that wait to be accepted at most; the kernel refuses further ones. */
export function computeAcceptBacklog(): number {
    return 1_024;
}
