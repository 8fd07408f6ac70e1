import { Decoder, Encoder } from "@msgpack/msgpack";
import { err, ok, type Result } from "neverthrow";
import { LynxarchError } from "../../base/errors.js";
import type { AccountTotals, TotalsMember } from "../../decisions/shares/accountTotals.js";
import type { AccountUsage } from "../../decisions/shares/accountUsage.js";
import { isNonNegativeNumber, isCount, isNonEmptyString } from "../wireValues.js";

/** A message with totals of accounts can't be decoded. */
export class TotalsMessageError extends LynxarchError {
    public readonly code = "totals-message-invalid";
}

/**
 * Routers that the totals cover: only the sender (sent to its data centre's aggregator), routers of the sender's data centre (sent to
 * other aggregators), or the fleet (sent to routers of the sender's data centre).
 */
export type TotalsScope = "router" | "data-centre" | "fleet";

/** Totals of the tokens that accounts requested and were served, sent from one router to another. */
export interface TotalsMessage {
    readonly scope: TotalsScope;
    readonly totals: AccountTotals;
}

/** Identifies the format version. Other versions use other codes, and their messages are dropped. */
const messageCode = 49;
const scopes: readonly TotalsScope[] = ["router", "data-centre", "fleet"];
const wireLength = 6;
const memberColumns = 2;
const accountColumns = 4;
const encoder = new Encoder();
const decoder = new Decoder();

/** Whether a datagram holds totals of accounts. Checks only its first two bytes: an array whose first entry is the code. */
export function isTotalsDatagram(data: Uint8Array): boolean {
    return data.length > 1 && (data[0] & 0xf0) === 0x90 && data[1] === messageCode;
}

/** Encodes a message in MessagePack (https://msgpack.org). */
export function encodeTotalsMessage({ scope, totals }: TotalsMessage): Uint8Array {
    return encoder.encode([
        messageCode,
        scopes.indexOf(scope),
        totals.members.flatMap(member => [member.routerHash, member.sequence]),
        Math.round(totals.ageMs),
        Math.round(totals.coveredMs),
        [...totals.accounts].flatMap(([account, usage]) => [
            account,
            Math.round(usage.asked),
            Math.round(usage.served),
            Math.round(usage.recentlyServed),
        ]),
    ]);
}

/** Decodes a message. Errors: not valid MessagePack, or a layout or version that is not supported. */
export function decodeTotalsMessage(data: Uint8Array): Result<TotalsMessage, TotalsMessageError> {
    let value: unknown;
    try {
        value = decoder.decode(data);
    } catch (cause) {
        return err(new TotalsMessageError("totals message is not valid MessagePack", cause));
    }
    const message = Array.isArray(value) && value.length === wireLength ? decodeWire(value) : undefined;
    return message === undefined
        ? err(new TotalsMessageError("totals message has an unsupported layout or version"))
        : ok(message);
}

function decodeWire(wire: readonly unknown[]): TotalsMessage | undefined {
    const [code, scopeCode, , ageMs, coveredMs] = wire;
    const scope = isCount(scopeCode) ? scopes.at(scopeCode) : undefined;
    const members = decodeMembers(wire[2]);
    const accounts = decodeAccounts(wire[5]);
    if (code !== messageCode || scope === undefined || members === undefined || accounts === undefined) {
        return undefined;
    }
    return isNonNegativeNumber(ageMs) && isNonNegativeNumber(coveredMs)
        ? { scope, totals: { members, ageMs, coveredMs, accounts } }
        : undefined;
}

function decodeMembers(value: unknown): readonly TotalsMember[] | undefined {
    if (!Array.isArray(value) || value.length % memberColumns !== 0 || !value.every(isCount)) {
        return undefined;
    }
    return Array.from({ length: value.length / memberColumns }, (...[, row]) => ({
        routerHash: value[row * memberColumns],
        sequence: value[row * memberColumns + 1],
    }));
}

function decodeAccounts(value: unknown): ReadonlyMap<string, AccountUsage> | undefined {
    if (!Array.isArray(value) || value.length % accountColumns !== 0) {
        return undefined;
    }
    const accounts = new Map<string, AccountUsage>();
    for (let from = 0; from < value.length; from += accountColumns) {
        const [name, asked, served, recentlyServed] = value.slice(from, from + accountColumns) as unknown[];
        if (
            !isNonEmptyString(name) ||
            !isNonNegativeNumber(asked) ||
            !isNonNegativeNumber(served) ||
            !isNonNegativeNumber(recentlyServed)
        ) {
            return undefined;
        }
        accounts.set(name, { asked, served, recentlyServed });
    }
    return accounts;
}
