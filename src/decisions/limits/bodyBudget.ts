/** Answers many large bodies at once: bounds the memory for the bodies of all open requests together. */
export class BodyBudget {
    private takenBytes = 0;

    /** `maxBytes`: memory for bodies; bytes. */
    public constructor(private readonly maxBytes: number) {}

    /** Memory that bodies take now; bytes. */
    public get bytes(): number {
        return this.takenBytes;
    }

    /** Takes memory, also if none is left; it is to be released in any case. Returns whether the budget is kept. */
    public take(bytes: number): boolean {
        this.takenBytes += bytes;
        return this.takenBytes <= this.maxBytes;
    }

    /** Gives back memory that was taken. */
    public release(bytes: number): void {
        this.takenBytes -= bytes;
    }
}
