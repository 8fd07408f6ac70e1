/** Makes one object a name, at first use. */
export class LazyMap<T> {
    private readonly known = new Map<string, T>();

    public constructor(private readonly create: () => T) {}

    public getOrCreate(name: string): T {
        let found = this.known.get(name);
        if (found === undefined) {
            found = this.create();
            this.known.set(name, found);
        }
        return found;
    }

    public visitAll(visit: (value: T) => void): void {
        this.known.forEach(value => visit(value));
    }
}
