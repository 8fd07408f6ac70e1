/** Versions of the targets whose output the caller received in one response, in the order of the attempts. */
export class EventVersions {
    private readonly byAttempt = new Map<number, string>();

    public get all(): readonly string[] {
        return [...this.byAttempt.values()];
    }

    /** Records output of an attempt whose target had this version when the request was sent. */
    public record(attempt: number, version: string | undefined): void {
        if (!this.byAttempt.has(attempt)) {
            this.byAttempt.set(attempt, version ?? "");
        }
    }
}
