import { Decoder, Encoder } from "@msgpack/msgpack";
import { err, ok, type Result } from "neverthrow";
import { LynxarchError } from "../../base/errors.js";
import type { AccountTotals, TotalsMember } from "../../decisions/shares/accountTotals.js";
import type { AccountUsage } from "../../decisions/shares/accountUsage.js";
import { isNonNegativeNumber, isCount, isNonEmptyString } from "../wireValues.js";

/** A message with sums of accounts can't be decoded. */
export class TotalsMessageError extends LynxarchError {
    public readonly code = "totals-message-invalid";
}

/**
 * What the sums are over: the sender alone (to its data centre's aggregator), routers of the sender's data centre (to other
 * aggregators), or the fleet (to routers of the sender's data centre).
 */
export type TotalsScope = "router" | "data-centre" | "fleet";

/** Sums of what accounts asked and got, from one router to another. */
export interface TotalsMessage {
    readonly scope: TotalsScope;
    readonly totals: AccountTotals;
}

/** Version of this format; a message of another version has another code and is left aside. */
const messageCode = 49;
const scopes: readonly TotalsScope[] = ["router", "data-centre", "fleet"];
const wireLength = 6;
const memberColumns = 2;
const accountColumns = 4;
const encoder = new Encoder();
const decoder = new Decoder();

/** Whether a datagram carries sums of accounts, by its first bytes: an array whose first entry is the code. */
export function isTotalsDatagram(data: Uint8Array): boolean {
    return data.length > 1 && (data[0] & 0xf0) === 0x90 && data[1] === messageCode;
}

/** A message in MessagePack (https://msgpack.org). */
export function encodeTotalsMessage({ scope, totals }: TotalsMessage): Uint8Array {
    return encoder.encode([
        messageCode,
        scopes.indexOf(scope),
        totals.members.flatMap(member => [member.routerHash, member.sequence]),
        Math.round(totals.ageMs),
        Math.round(totals.coveredMs),
        [...totals.accounts].flatMap(([account, use]) => [
            account,
            Math.round(use.asked),
            Math.round(use.served),
            Math.round(use.recentlyServed),
        ]),
    ]);
}

/** Decodes a message. Errors: no MessagePack, or of another form or version. */
export function decodeTotalsMessage(data: Uint8Array): Result<TotalsMessage, TotalsMessageError> {
    let value: unknown;
    try {
        value = decoder.decode(data);
    } catch (cause) {
        return err(new TotalsMessageError("no MessagePack", cause));
    }
    const message = Array.isArray(value) && value.length === wireLength ? decodeWire(value) : undefined;
    return message === undefined ? err(new TotalsMessageError("of an unknown form or version")) : ok(message);
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
