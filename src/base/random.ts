/** Random numbers as an interface, so that tests and benchmarks are repeatable. */
export interface Random {
    /** A number in [0, 1). */
    next(): number;
}

/** The runtime's own generator. */
export class SystemRandom implements Random {
    public next(): number {
        return Math.random();
    }
}

/** A small seeded generator (mulberry32); same seed, same sequence. Not for secrets. */
export class SeededRandom implements Random {
    private state: number;

    public constructor(seed: number) {
        this.state = seed >>> 0;
    }

    public next(): number {
        this.state = (this.state + 0x6d2b79f5) >>> 0;
        let mixed = this.state;
        mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
    }
}
