import { randomUUID } from "node:crypto";
import type { Random } from "../../src/base/random.js";
import {
    issueKey,
    sendCall,
    sendChat,
    type CallOutcome,
    type ChatOutcome,
    type TestAccount,
} from "../../test/fakes/callers.js";
import type { Fleet } from "../../test/fakes/fleet.js";

/** A chat as its caller saw it. */
export interface SeenChat extends ChatOutcome {
    readonly account: TestAccount;
    readonly startedAtMs: number;
    readonly endedAtMs: number;
}

/** One try of a call with a key, as its caller saw it. */
export interface SeenCall extends CallOutcome {
    readonly account: TestAccount;
    readonly key: string;
    readonly sentBody: string;
    readonly startedAtMs: number;
    readonly endedAtMs: number;
}

/** A call without a key, sent once; told apart by its body. */
export interface SeenNote extends CallOutcome {
    readonly sentBody: string;
}

/** How much the callers send. */
export interface WorkloadOptions {
    /** Chats kept open at once for each account. */
    readonly chats: Readonly<Partial<Record<TestAccount, number>>>;
    /** Keyed calls kept open at once for each account. */
    readonly calls: Readonly<Partial<Record<TestAccount, number>>>;
    /** Calls without a key that may run only once, kept open at once for each account. */
    readonly notes: Readonly<Partial<Record<TestAccount, number>>>;
}

const repeatShare = 0.4;
const ownKeyShare = 0.5;
const leastTokens = 4;
const tokenRange = 40;
const callTimeoutMs = 45_000;
const refusedPauseMs = 100;

/** Callers of all accounts who send one request after another through all routers until they are told to stop. */
export class Workload {
    public readonly chats: SeenChat[] = [];
    public readonly calls: SeenCall[] = [];
    public readonly notes: SeenNote[] = [];
    private readonly callers: Promise<void>[] = [];
    private stopping = false;
    private chatCount = 0;

    public constructor(
        private readonly fleet: Fleet,
        private readonly random: Random,
    ) {}

    public start(options: WorkloadOptions): void {
        this.startCallers(options.chats, account => this.runChat(account));
        this.startCallers(options.calls, account => this.runCall(account));
        this.startCallers(options.notes, account => this.runNote(account));
    }

    /** Lets every caller get its last answer. */
    public async stop(): Promise<void> {
        this.stopping = true;
        await Promise.all(this.callers);
    }

    /** One chat through a router; returns what the caller saw. */
    public async runChat(account: TestAccount, url = this.pickUrl()): Promise<boolean> {
        const tokens = leastTokens + Math.floor(this.random.next() * tokenRange);
        const prompt = `chat ${this.chatCount++} of ${account} [tokens:${tokens}]`;
        const startedAtMs = Date.now();
        const outcome = await sendChat(url, account, prompt, undefined, callTimeoutMs);
        this.chats.push({ ...outcome, account, startedAtMs, endedAtMs: Date.now() });
        return outcome.whole;
    }

    /** One call that must not run twice; some callers repeat it through another router, at once or afterwards. */
    public async runCall(account: TestAccount): Promise<boolean> {
        const key = await this.createKey(account);
        if (key === undefined) {
            return false;
        }
        const sentBody = JSON.stringify({ seat: key });
        const first = this.sendTry(account, key, sentBody);
        if (this.random.next() < repeatShare) {
            await this.sendTry(account, key, sentBody);
        }
        const outcome = await first;
        if (outcome.status !== 200 || this.random.next() < repeatShare) {
            await this.sendTry(account, key, sentBody);
        }
        return outcome.status === 200;
    }

    /** Sends one try of a keyed call through any router. */
    public async sendTry(account: TestAccount, key: string, sentBody: string, url = this.pickUrl()): Promise<SeenCall> {
        const startedAtMs = Date.now();
        const outcome = await sendCall(url, account, key, sentBody, "/seats", callTimeoutMs);
        const seen = { ...outcome, account, key, sentBody, startedAtMs, endedAtMs: Date.now() };
        this.calls.push(seen);
        return seen;
    }

    /** One call that may run only once and has no key: nobody may send it again after it may have run. */
    private async runNote(account: TestAccount): Promise<boolean> {
        const sentBody = JSON.stringify({ note: randomUUID() });
        const outcome = await sendCall(this.pickUrl(), account, undefined, sentBody, "/notes", callTimeoutMs);
        this.notes.push({ ...outcome, sentBody });
        return outcome.status === 200;
    }

    private startCallers(
        counts: Readonly<Partial<Record<TestAccount, number>>>,
        send: (account: TestAccount) => Promise<boolean>,
    ): void {
        for (const [account, count] of Object.entries(counts)) {
            for (let caller = 0; caller < count; caller++) {
                this.callers.push(this.runCaller(() => send(account as TestAccount)));
            }
        }
    }

    private async createKey(account: TestAccount): Promise<string | undefined> {
        if (this.random.next() < ownKeyShare) {
            return randomUUID();
        }
        try {
            return await issueKey(this.pickUrl(), account);
        } catch {
            return undefined;
        }
    }

    private pickUrl(): string {
        const { routers } = this.fleet;
        return routers[Math.floor(this.random.next() * routers.length)]?.callersUrl ?? "";
    }

    private async runCaller(send: () => Promise<boolean>): Promise<void> {
        while (!this.stopping) {
            if (!(await send())) {
                await new Promise(resolve => setTimeout(resolve, refusedPauseMs));
            }
        }
    }
}
