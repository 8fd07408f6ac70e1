/** Usage of one service by one client account, as reported by one daemon; shown by `lynxarch shares`. */
export interface ClientShare {
    readonly clientAccount: string;
    readonly service: string;
    readonly weight: number;
    /** Service received in the whole fleet divided by weight, as far as replicated to this daemon. */
    readonly normalizedService: number;
    readonly waiting: number;
    readonly running: number;
}
