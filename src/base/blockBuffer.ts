/** Pieces of at least this size are kept as they are; bytes. */
const minBlockBytes = 4_096;
const maxBlockBytes = 65_536;

/**
 * Collects bytes that arrive in pieces of any size, in about the memory that they take. A piece is an object of some hundred bytes
 * even if it holds a single byte, so that small ones are copied into blocks.
 */
export class BlockBuffer {
    private readonly blocks: Buffer[] = [];
    /** Block that is being filled. */
    private block: Buffer | undefined;
    private blockLength = 0;
    private size = 0;

    /** Number of bytes so far. */
    public get length(): number {
        return this.size;
    }

    public add(piece: Buffer): void {
        const isFirst = this.size === 0;
        this.size += piece.length;
        if (isFirst || piece.length >= minBlockBytes) {
            this.endBlock();
            this.blocks.push(piece);
            return;
        }
        if (this.block === undefined || this.blockLength + piece.length > this.block.length) {
            this.endBlock();
            // Larger blocks for more bytes, so that neither few bytes nor a large number of blocks takes much memory.
            this.block = Buffer.allocUnsafeSlow(Math.min(maxBlockBytes, Math.max(minBlockBytes, this.size)));
        }
        piece.copy(this.block, this.blockLength);
        this.blockLength += piece.length;
    }

    /** All bytes so far; begins anew. */
    public take(): Buffer {
        this.endBlock();
        const bytes = this.blocks.length === 1 ? this.blocks[0] : Buffer.concat(this.blocks, this.size);
        this.blocks.length = 0;
        this.size = 0;
        return bytes;
    }

    private endBlock(): void {
        if (this.block !== undefined) {
            this.blocks.push(this.block.subarray(0, this.blockLength));
            this.block = undefined;
            this.blockLength = 0;
        }
    }
}
