/** Something with a lifetime; its owner disposes it exactly once. */
export interface Disposable {
    dispose(): void;
}

/** Makes a disposable from a function. */
export function toDisposable(dispose: () => void): Disposable {
    return { dispose };
}

/** Owns disposables and disposes them in reverse order of their registration. */
export class DisposableStore implements Disposable {
    private readonly owned: Disposable[] = [];
    private disposed = false;

    /** Takes ownership; a store that is already disposed disposes the newcomer at once. */
    public add<T extends Disposable>(disposable: T): T {
        if (this.disposed) {
            disposable.dispose();
        } else {
            this.owned.push(disposable);
        }
        return disposable;
    }

    public dispose(): void {
        this.disposed = true;
        for (const disposable of this.owned.splice(0).reverse()) {
            disposable.dispose();
        }
    }
}
