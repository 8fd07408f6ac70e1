import { describe, expect, it } from "vitest";
import { DocumentState, type DecidedRecord, type StreamRecord } from "../../src/document/documentState.js";
import { buildDocument } from "./fixtures.js";

/** A record that sets the account's weight; the first one brings the whole document. */
function buildChange(offset: number, basis: number, weight: number): StreamRecord {
    const patch =
        basis === -1
            ? [{ op: "replace", path: "", value: buildDocument(weight) }]
            : [{ op: "replace", path: "/clientAccounts/club/weight", value: weight }];
    return {
        offset,
        appendedAtMs: offset * 1_000,
        value: { type: "change", id: `c${offset}`, basis, patch, author: "a" },
    };
}

function buildSnapshot(offset: number, accepted: number, upTo: number, weight: number): StreamRecord {
    const value = { type: "snapshot", accepted, upTo, document: buildDocument(weight) };
    return { offset, appendedAtMs: offset * 1_000, value };
}

function applyAll(state: DocumentState, records: readonly StreamRecord[], firstOffset = 0): string {
    return state.applyPage({ records, firstOffset }).map(formatVerdict).join(" ");
}

function formatVerdict(record: DecidedRecord): string {
    return `${record.offset}:${record.verdict}`;
}

function formatState(state: DocumentState): string {
    const weight = state.accepted?.document.clientAccounts.club.weight;
    return `accepted ${state.basis} weight ${weight} next ${state.nextOffset} known ${state.isHistoryKnown}`;
}

describe("DocumentState", () => {
    it("accepts the first of two racing changes and refuses the other and an invalid one", () => {
        // Two operators read the same document and both append. Both would see their change in the log; if the second
        // were taken as well, it would silently undo the first. Only the one that is first in log order may count.
        const state = new DocumentState();
        const log = [buildChange(0, -1, 1), buildChange(1, 0, 2), buildChange(2, 0, 3), buildChange(3, 1, -7)];
        expect(applyAll(state, log)).toMatchInlineSnapshot(`"0:accepted 1:accepted 2:conflict 3:invalid"`);
        expect(formatState(state)).toMatchInlineSnapshot(`"accepted 1 weight 2 next 4 known true"`);
    });

    it("does not take a snapshot that a slow daemon wrote from old state", () => {
        // A daemon stalls after offset 0 and appends its snapshot at 3, behind two accepted changes. Retention then
        // drops 0 to 2. A restarted reader sees only the snapshot: taking it would bring weight 1 back into force.
        const fresh = new DocumentState();
        const stale = buildSnapshot(3, 0, 0, 1);
        expect(applyAll(fresh, [stale], 3)).toMatchInlineSnapshot(`"3:snapshot"`);
        expect(formatState(fresh)).toMatchInlineSnapshot(`"accepted -1 weight undefined next 4 known false"`);

        const reader = new DocumentState();
        applyAll(reader, [buildChange(0, -1, 1), buildChange(1, 0, 2), buildChange(2, 1, 3), stale]);
        expect(formatState(reader)).toMatchInlineSnapshot(`"accepted 2 weight 3 next 4 known true"`);
        expect(applyAll(fresh, [buildChange(4, 0, 9), buildSnapshot(5, 2, 3, 3)], 3)).toMatchInlineSnapshot(
            `"4:conflict 5:snapshot"`,
        );
        expect(formatState(fresh)).toMatchInlineSnapshot(`"accepted 2 weight 3 next 6 known true"`);
    });

    it("judges nothing while the history is lost, until an operator restores it", () => {
        // Every daemon was down for longer than the retention. A change that names the old basis arrives: whether it
        // fits cannot be known, so it must not be accepted. A restore counts only if nothing came between.
        const state = new DocumentState();
        const restore = (offset: number, upTo: number): StreamRecord => ({
            offset,
            appendedAtMs: offset,
            value: { type: "restore", id: `r${offset}`, upTo, document: buildDocument(5), author: "a" },
        });
        expect(applyAll(state, [buildChange(7, 3, 8), restore(8, 6), restore(9, 8)], 7)).toMatchInlineSnapshot(
            `"8:conflict 7:undecided 9:accepted"`,
        );
        expect(formatState(state)).toMatchInlineSnapshot(`"accepted 9 weight 5 next 10 known true"`);
    });

    it("takes a newer document from a peer, keeps it over an older one, and goes on from there", () => {
        const peer = new DocumentState();
        applyAll(peer, [buildChange(0, -1, 1), buildChange(1, 0, 2), buildChange(2, 0, 3)]);
        const restarted = new DocumentState();
        expect(restarted.applyPeerDocument(peer.buildPeerDocument()!)).toBe(true);
        expect(restarted.applyPeerDocument({ offset: 0, document: buildDocument(1) })).toBe(false);
        expect(applyAll(restarted, [buildChange(3, 1, 4)], 3)).toMatchInlineSnapshot(`"3:accepted"`);
        expect(formatState(restarted)).toMatchInlineSnapshot(`"accepted 3 weight 4 next 4 known true"`);
    });

    it("says since when a reader without state needs the log", () => {
        const state = new DocumentState();
        applyAll(state, [buildChange(0, -1, 1), buildChange(1, 0, 2), buildSnapshot(2, 1, 1, 2), buildChange(3, 1, 3)]);
        expect([state.neededSinceMs, state.recordsSinceSnapshot]).toEqual([2_000, 2]);
        applyAll(state, [buildSnapshot(4, 0, 0, 1)]);
        expect(state.neededSinceMs).toBe(2_000);
    });
});
