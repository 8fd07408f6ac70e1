const attemptMark = "~";

/** The caller's request of an attempt: an agent sees a router's second try as `<request>~2`. */
export function getBaseRequestId(requestId: string): string {
    const [base] = requestId.split(attemptMark);
    return base;
}
