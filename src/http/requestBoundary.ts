const lineFeed = 0x0a;
const carriageReturn = 0x0d;
/** Bytes before a chunk that may belong to an empty line that ends in it. */
const maxTailBytes = 2;

/**
 * Finds empty lines in what a client sends. Each head of a request ends with one, so that the bytes up to an empty line hold at most one
 * complete head.
 */
export class RequestBoundary {
    /** Last bytes before the next chunk; an empty line may lie across two chunks. */
    private tail: Buffer = Buffer.alloc(0);

    /**
     * Index after the first empty line in the data, or after all of those with which it begins; undefined if there is none. The line may have
     * begun in previous data.
     */
    public findEnd(data: Buffer): number | undefined {
        const emptyLinesEnd = this.tail.length === 0 ? countLeadingLineBreaks(data) : 0;
        if (emptyLinesEnd > 1) {
            return emptyLinesEnd;
        }
        const straddling = this.findStraddlingEnd(data);
        if (straddling !== undefined) {
            return straddling;
        }
        const crlf = data.indexOf("\n\r\n");
        const crlfEnd = crlf < 0 ? undefined : crlf + 3;
        const plain = (crlfEnd === undefined ? data : data.subarray(0, crlfEnd)).indexOf("\n\n");
        return plain < 0 ? crlfEnd : plain + 2;
    }

    /** Remembers data that has been parsed, up to its end. */
    public advance(data: Buffer): void {
        this.tail =
            data.length >= maxTailBytes
                ? Buffer.from(data.subarray(-maxTailBytes))
                : Buffer.concat([this.tail, data]).subarray(-maxTailBytes);
    }

    /** Forgets what came before; the next data begins a new part. */
    public clear(): void {
        this.tail = Buffer.alloc(0);
    }

    private findStraddlingEnd(data: Buffer): number | undefined {
        const { tail } = this;
        const endsWithLine = tail.at(-1) === lineFeed;
        const endsInLine = tail.at(-1) === carriageReturn && tail.at(-2) === lineFeed;
        if (data[0] === lineFeed && (endsWithLine || endsInLine)) {
            return 1;
        }
        return endsWithLine && data[0] === carriageReturn && data[1] === lineFeed ? 2 : undefined;
    }
}

function countLeadingLineBreaks(data: Buffer): number {
    let count = 0;
    while (data[count] === lineFeed || data[count] === carriageReturn) {
        count += 1;
    }
    return count;
}
