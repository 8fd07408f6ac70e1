/** What an account requested and was served within the window, in tokens. `asked` counts the requested tokens. */
export interface AccountUsage {
    readonly asked: number;
    readonly served: number;
    /** Part of `served` that falls within the shorter window of the surplus ratio. */
    readonly recentlyServed: number;
}
