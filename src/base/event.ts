import { toDisposable, type Disposable } from "./lifecycle.js";

/** Subscribes a listener until the returned disposable is disposed. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** The firing side of an {@link Event}. */
export class Emitter<T> implements Disposable {
    private readonly listeners = new Set<(value: T) => void>();

    public readonly onDidFire: Event<T> = listener => {
        this.listeners.add(listener);
        return toDisposable(() => this.listeners.delete(listener));
    };

    public fire(value: T): void {
        for (const listener of [...this.listeners]) {
            listener(value);
        }
    }

    public dispose(): void {
        this.listeners.clear();
    }
}
