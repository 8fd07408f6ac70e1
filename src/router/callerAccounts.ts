import type { ServerResponse } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { ApiKeyIndex } from "../document/apiKey.js";
import type { AcceptedDocument, EnvironmentDocument } from "../document/schema.js";
import { callerProblems } from "./callerProblems.js";
import type { Problem } from "./problem.js";

const bearerPrefix = "Bearer ";

/** A caller's account, with the document by which it was found. */
export interface Admitted {
    readonly clientAccount: string;
    readonly document: EnvironmentDocument;
}

/** Finds callers' accounts by their API keys, and bounds how many requests each has open here. */
export class CallerAccounts {
    private index: { readonly offset: number; readonly keys: ApiKeyIndex } | undefined;
    private readonly openByAccount = new Map<string, number>();

    public constructor(private readonly getDocument: () => AcceptedDocument | undefined) {}

    /** The account of an authorization header. Errors: no document yet, no such key. */
    public find(authorization: string | undefined): Result<Admitted, Problem> {
        const current = this.getDocument();
        if (current === undefined) {
            return err(callerProblems.notReady);
        }
        if (this.index?.offset !== current.offset) {
            this.index = { offset: current.offset, keys: new ApiKeyIndex(current.document) };
        }
        const key = authorization?.startsWith(bearerPrefix) ? authorization.slice(bearerPrefix.length) : "";
        const clientAccount = this.index.keys.find(key);
        return clientAccount === undefined
            ? err(callerProblems.unauthorized)
            : ok({ clientAccount, document: current.document });
    }

    /** Counts a request as open until its connection closes. Errors: the account has too many open. */
    public open({ clientAccount, document }: Admitted, outgoing: ServerResponse): Result<void, Problem> {
        const limit = document.clientAccounts[clientAccount].maxOpen ?? document.limits.maxOpenPerAccount;
        const count = this.openByAccount.get(clientAccount) ?? 0;
        if (count >= limit) {
            return err(callerProblems.createTooManyOpen(limit));
        }
        this.openByAccount.set(clientAccount, count + 1);
        outgoing.once("close", () => this.close(clientAccount));
        return ok(undefined);
    }

    private close(clientAccount: string): void {
        const left = (this.openByAccount.get(clientAccount) ?? 1) - 1;
        if (left === 0) {
            this.openByAccount.delete(clientAccount);
        } else {
            this.openByAccount.set(clientAccount, left);
        }
    }
}
