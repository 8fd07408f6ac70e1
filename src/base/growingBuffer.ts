/** Bytes that come in pieces, copied once each: a list of tiny pieces would take many times their size. */
export class GrowingBuffer {
    private bytes = Buffer.alloc(0);
    private used = 0;

    public get length(): number {
        return this.used;
    }

    public add(piece: Buffer): void {
        const needed = this.used + piece.length;
        if (needed > this.bytes.length) {
            const grown = Buffer.allocUnsafe(Math.max(needed, 2 * this.bytes.length));
            this.bytes.copy(grown, 0, 0, this.used);
            this.bytes = grown;
        }
        piece.copy(this.bytes, this.used);
        this.used = needed;
    }

    /** The bytes so far; begins anew. */
    public take(): Buffer {
        const taken = this.bytes.subarray(0, this.used);
        this.bytes = Buffer.alloc(0);
        this.used = 0;
        return taken;
    }
}
