/**
 * How many connections wait to be accepted by a router.
 *
 * Load pattern: more connections reach a router than it can read. They are accepted in order of arrival, so that with a long queue each
 * request lies unread until its caller has left: the router is busy and serves nobody, for as long as the load lasts. With a
 * queue that is read within a part of usual objectives, what is read can still be served, and the callers of further
 * connections find at once that they get none.
 */

/** Within this time the queue is read by a router that does nothing else; milliseconds. */
const mostReadingMs = 150;
/** Processor time of reading one request on a new connection; milliseconds of a whole core. */
const readMs = 1.4;
/** Callers connect in bursts, also to a router that keeps up. */
const leastBacklog = 24;

/** Connections that wait to be accepted at most; the kernel refuses further ones. `processorShare`: part of a core. */
export function computeAcceptBacklog(processorShare: number): number {
    return Math.max(leastBacklog, Math.round((mostReadingMs / readMs) * processorShare));
}
