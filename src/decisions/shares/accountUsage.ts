/** What an account asked for and got within the window, in tokens. */
export interface AccountUsage {
    readonly asked: number;
    readonly served: number;
    /** Of `served`, what it got within the span over which surplus is levelled. */
    readonly recentlyServed: number;
}
