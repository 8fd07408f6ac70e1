/** Map that creates a value when its name is first looked up. */
export class LazyMap<T> {
    private readonly values = new Map<string, T>();

    public constructor(private readonly create: () => T) {}

    /** Returns the value of this name and creates it if there is none. */
    public getOrCreate(name: string): T {
        let instance = this.values.get(name);
        if (instance === undefined) {
            instance = this.create();
            this.values.set(name, instance);
        }
        return instance;
    }

    /** Calls `visit` for each value created so far. */
    public visitAll(visit: (value: T) => void): void {
        this.values.forEach(value => visit(value));
    }
}
