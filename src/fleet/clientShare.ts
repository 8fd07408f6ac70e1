/** What `lynxarch shares` shows of one account at one service, as one daemon sees it. */
export interface ClientShare {
    readonly clientAccount: string;
    readonly service: string;
    readonly weight: number;
    /** Service given over weight, fleet-wide, as known here. */
    readonly normalizedService: number;
    readonly waiting: number;
    readonly running: number;
}
