import { createHash, type Hash } from "node:crypto";

const hashPrefixBytes = 6;

/** SHA-256 of a text as lower-case hex. */
export function hashText(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}

/** A uniform 48-bit integer from a text, equal on every machine; for rendezvous hashing. */
export function hashToNumber(text: string): number {
    return createHash("sha256").update(text).digest().readUIntBE(0, hashPrefixBytes);
}

/** A 32-bit hash of a text, equal on every machine and cheap (FNV-1a; Fowler, Noll and Vo). */
export function hashFast(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    return hash >>> 0;
}

/** Mixes two 32-bit hashes into one (finalizer of MurmurHash3; Appleby, public domain). */
export function mixHashes(first: number, second: number): number {
    let mixed = (first ^ Math.imul(second, 0x9e3779b1)) >>> 0;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** The members ordered by rendezvous weight for a key (highest random weight; Thaler and Ravishankar, 1998). */
export function orderByRendezvous<T>(key: string, members: readonly T[], getName: (member: T) => string): readonly T[] {
    return members
        .map(member => ({ member, name: getName(member), weight: hashToNumber(`${key}\n${getName(member)}`) }))
        .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
        .map(entry => entry.member);
}

/** SHA-256 of texts that come one after the other; lower-case hex. */
export class RunningDigest {
    private readonly hash: Hash = createHash("sha256");

    public add(text: string): void {
        this.hash.update(text);
    }

    /** The digest of all that was added; nothing may be added after. */
    public build(): string {
        return this.hash.digest("hex");
    }
}
