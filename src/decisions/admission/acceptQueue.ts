/**
 * Length of a router's accept queue (the `listen` backlog).
 *
 * Load pattern: more connections reach a router than it can read. The kernel queues them in order of arrival, so with a long queue every
 * request is read only after its caller has timed out: the router is saturated and serves no request for as long as the load lasts. The
 * queue is therefore short enough to be read within a fraction of the usual latency objectives. Requests that are read can
 * then still be served in time, and further connections are refused immediately.
 */

/** Time in which a router that does no other work reads a full accept queue; milliseconds. */
const maxQueueReadMs = 150;
/** Processor time to read one request from a new connection; milliseconds of a full core. */
const requestReadMs = 1.4;
/** Lower bound of the queue length: callers connect in bursts even when the router is not overloaded. */
const minBacklog = 24;

/** Maximum number of connections waiting to be accepted; the kernel refuses further ones. `processorShare`: fraction of a core. */
export function computeAcceptBacklog(processorShare: number): number {
    return Math.max(minBacklog, Math.round((maxQueueReadMs / requestReadMs) * processorShare));
}
