import { createHash, timingSafeEqual } from "node:crypto";

/** Whether two texts are equal, in time that does not depend on where they differ. */
export function isSameSecret(offered: string, expected: string): boolean {
    const digest = (text: string): Buffer => createHash("sha256").update(text).digest();
    return timingSafeEqual(digest(offered), digest(expected));
}

/** Value of the authorization header between our processes. */
export function toAuthorization(secret: string): string {
    return `Bearer ${secret}`;
}
