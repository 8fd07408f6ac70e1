import type { IncomingHttpHeaders } from "node:http";

const informationalLimit = 200;
const noContentStatus = 204;
const notModifiedStatus = 304;

/** Whether the body of a response ends with its connection (RFC 9112, section 6.3), so that a reset makes it incomplete. */
export function isEndedByClose(method: string, status: number, headers: IncomingHttpHeaders): boolean {
    const hasNoBody =
        method === "HEAD" || status < informationalLimit || status === noContentStatus || status === notModifiedStatus;
    if (hasNoBody) {
        return false;
    }
    const coding = headers["transfer-encoding"];
    if (coding !== undefined) {
        return !/(^|,)\s*chunked\s*$/i.test(coding);
    }
    return headers["content-length"] === undefined;
}
