import { v7 } from "uuid";
import { SeededRandom } from "../../src/base/random.js";
import { createKeyHistory } from "../../src/daemon/keyHistory.js";
import { KeyOwnerAuthority } from "../../src/fleet/keys/keyOwnerAuthority.js";
import { signIssuedKey, verifyIssuedKey } from "../../src/fleet/keys/issuedKey.js";
import { findKeyOwner, type RosterAgent } from "../../src/fleet/keys/keyOwner.js";
import { defaultKeyTableLimits, KeyTable, type KeyDecision } from "../../src/fleet/keys/keyTable.js";
import { defaultKeyTiming, type Instant } from "../../src/fleet/keys/keyTiming.js";
import type { KeyUse } from "../../src/fleet/keys/keyUse.js";
import type { RosterHistory } from "../../src/fleet/keys/rosterHistory.js";
import { computeRosterTimes, RosterState, type LeaveRecord, type RegisterRecord } from "../../src/fleet/rosterState.js";

const secret = "a shared secret";
const service = "registration";
const clientAccount = "club";
const timing = defaultKeyTiming;
/** Wall clocks of agents and of callers, against the log's; any two lie within the clock bound. */
const agentSkewsMs = [0, 1_000, -1_000];
const callerSkewsMs = [0, 28_000, -28_000, 28_000];

export type KeyKind = "undated" | "dated" | "issued";

interface Key {
    readonly text: string;
    readonly kind: KeyKind;
    startedAtMs: number | undefined;
    runs: number;
}

interface Read {
    readonly history: RosterHistory;
    readonly began: Instant;
}

interface Process {
    readonly agentId: string;
    readonly incarnation: number;
    readonly skewMs: number;
    readonly authority: KeyOwnerAuthority;
    readonly table: KeyTable;
    readonly waiting: { readonly keyHash: string; readonly key: Key; readonly requestId: string }[];
    readonly running: string[];
    readonly inbox: (() => void)[];
    isPaused: boolean;
    /** Its data centre is out: it starts nothing new, and hands new keys over. */
    isOut: boolean;
    read: Read | undefined;
}

/** Three agents, three routers, one stream of the log, and a target that counts; every breach is thrown at once. */
export class KeyWorld {
    public readonly counts: Record<string, number> = {};
    private readonly random = new SeededRandom(2);
    private readonly keys: Key[] = [];
    private readonly processes: Process[] = [];
    private readonly routers: { agents: readonly RosterAgent[] }[] = [{ agents: [] }, { agents: [] }, { agents: [] }];
    private readonly notRun = new Set<string>();
    private readonly roster = new RosterState(computeRosterTimes(3_600_000));
    private readonly inFlight: (RegisterRecord | LeaveRecord)[] = [];
    private isLogUp = true;
    private realMs = 1_800_000_000_000;
    private lastRequest = 0;
    private lastDelegate = 0;
    private lastIncarnation = 0;

    public startAgent(agent: number, isLate: boolean): void {
        const incarnation = ++this.lastIncarnation;
        const agentId = `agent-${agent}`;
        const authority = new KeyOwnerAuthority({ agentId, incarnation }, secret, timing);
        const table = new KeyTable(authority, defaultKeyTableLimits);
        const skewMs = agentSkewsMs[incarnation % agentSkewsMs.length];
        const parts = { waiting: [], running: [], inbox: [], isPaused: false, isOut: false, read: undefined };
        this.processes.push({ agentId, incarnation, skewMs, authority, table, ...parts });
        this.inFlight.push(this.createRegistration(agentId, incarnation));
        if (!isLate) {
            this.appendDelayedRecords();
        }
    }

    public removeProcess(index: number): void {
        if (this.processes.length > 0) {
            this.processes.splice(index % this.processes.length, 1);
        }
    }

    public removeFromRoster(agent: number): void {
        const daemonId = `agent-${agent}`;
        const member = this.roster.members.get(daemonId);
        if (member !== undefined) {
            const { entry, registration } = member;
            const { incarnation } = entry;
            this.inFlight.push({
                type: "leave",
                id: "",
                daemonId,
                incarnation,
                reason: "evicted",
                by: "",
                registration,
            });
            this.appendDelayedRecords();
        }
    }

    /** Appends reach the log now, or when it is up again. */
    public appendDelayedRecords(): void {
        if (this.isLogUp) {
            for (const record of this.inFlight.splice(0)) {
                const offset = this.roster.nextOffset;
                this.roster.applyPage({
                    firstOffset: 0,
                    records: [{ offset, appendedAtMs: this.realMs, value: record }],
                });
            }
        }
    }

    public setLog(isUp: boolean): void {
        this.isLogUp = isUp;
        this.appendDelayedRecords();
    }

    public setPaused(index: number, isPaused: boolean): void {
        const process = this.processes[index % this.processes.length];
        if (process !== undefined) {
            process.isPaused = isPaused;
            while (!process.isPaused && process.inbox.length > 0) {
                process.inbox.shift()?.();
            }
        }
    }

    public setDataCentreOut(index: number, isOut: boolean): void {
        const process = this.processes[index % this.processes.length];
        if (process !== undefined) {
            process.isOut = isOut;
        }
    }

    public startRead(index: number): void {
        const process = this.processes[index % this.processes.length];
        if (process !== undefined && !process.isPaused && this.isLogUp) {
            process.read = { history: createKeyHistory(this.roster), began: this.getInstant(process) };
        }
    }

    /** A read that waited for news shows what was appended after it began. */
    public applyRead(index: number, hasWaited: boolean): void {
        const process = this.processes[index % this.processes.length];
        if (process?.read !== undefined && !process.isPaused) {
            const history = hasWaited && this.isLogUp ? createKeyHistory(this.roster) : process.read.history;
            process.authority.update(history, process.read.began, this.getInstant(process));
            process.read = undefined;
        }
    }

    /** What a healthy moment does: everyone that runs reads the log. */
    public readAll(): void {
        this.appendDelayedRecords();
        this.processes.forEach((...[, index]) => {
            this.startRead(index);
            this.applyRead(index, false);
        });
    }

    public updateRouter(router: number): void {
        if (this.isLogUp) {
            this.routers[router].agents = [...this.roster.members.values()].map(member => member.entry);
        }
    }

    public createKey(kind: KeyKind, router: number): void {
        const text = kind === "undated" ? `order-${this.keys.length}` : this.createText(kind, router);
        if (text !== undefined) {
            this.keys.push({ text, kind, startedAtMs: undefined, runs: 0 });
        }
    }

    /** A caller sends the request of one of the newest keys; `isStale` takes the oldest process that still listens for the agent. */
    public sendKey(index: number, router: number, isStale: boolean): void {
        const key = this.keys[this.keys.length - 1 - index];
        // The promise to callers of undated keys ends with the retention; dated and issued keys say their own age.
        const isPromised =
            key?.kind !== "undated" || this.realMs <= (key.startedAtMs ?? this.realMs) + timing.retentionMs;
        if (key === undefined || !isPromised) {
            return;
        }
        const requestId = `request-${++this.lastRequest}`;
        const use: KeyUse = { clientAccount, service, key: key.text, requestDigest: "same", requestId };
        const home = findKeyOwner(use, this.routers[router].agents, secret);
        home.match(
            ({ agentId }) => this.send(key, use, agentId, isStale, true),
            refusal => this.observeRefusal(key, requestId, refusal.execution),
        );
    }

    /** The agent gives its oldest waiting request to the target; `isTaken` false: the target refused the connection. */
    public startNext(index: number, isTaken: boolean): void {
        const process = this.processes[index % this.processes.length];
        const next = process === undefined || process.isPaused ? undefined : process.waiting.shift();
        if (next === undefined) {
            return;
        }
        const refusal = process.table.start(next.keyHash, this.getInstant(process));
        if (refusal !== undefined) {
            this.observeRefusal(next.key, next.requestId, refusal.execution);
        } else if (isTaken) {
            process.running.push(next.keyHash);
            this.observeRun(next.key, next.requestId);
        } else {
            process.table.close(next.keyHash, { type: "not-run" }, this.getInstant(process).nowMs);
            this.observeRefusal(next.key, next.requestId, "not-run");
        }
    }

    /** Every process that is not paused starts all it holds. */
    public startAll(): void {
        this.processes.forEach((process, index) => {
            while (!process.isPaused && process.waiting.length > 0) {
                this.startNext(index, true);
            }
        });
    }

    public closeNext(index: number, isAnswerWhole: boolean): void {
        const process = this.processes[index % this.processes.length];
        const keyHash = process === undefined || process.isPaused ? undefined : process.running.shift();
        if (keyHash !== undefined) {
            const whole = { type: "completed", answerReference: keyHash, answerBytes: 10 } as const;
            process.table.close(keyHash, isAnswerWhole ? whole : { type: "unknown" }, this.getInstant(process).nowMs);
        }
    }

    public withdrawNext(index: number): void {
        const process = this.processes[index % this.processes.length];
        const next = process === undefined || process.isPaused ? undefined : process.waiting.shift();
        if (next !== undefined && process.table.release(next.keyHash)) {
            this.observeRefusal(next.key, next.requestId, undefined);
        }
    }

    public advance(ms: number): void {
        this.realMs += ms;
        for (const process of this.processes.filter(candidate => !candidate.isPaused)) {
            process.table.advance(this.getInstant(process).nowMs);
            this.inFlight.push(this.createRegistration(process.agentId, process.incarnation));
        }
    }

    /** Also what a running process sends from time to time, whether it still stands in the roster or was taken out. */
    private createRegistration(daemonId: string, incarnation: number): RegisterRecord {
        const where = { address: "", dataCentre: "", vmId: "" };
        const entry = { daemonId, role: "agent", incarnation, ...where, services: [service] } as const;
        return {
            type: "register",
            id: "",
            entry: { ...entry, services: [service] },
            knownUpTo: this.roster.nextOffset - 1,
        };
    }

    private createText(kind: KeyKind, router: number): string | undefined {
        const skewMs = callerSkewsMs[this.keys.length % callerSkewsMs.length];
        if (kind === "dated") {
            const random = Uint8Array.from({ length: 16 }, () => Math.floor(this.random.next() * 256));
            return v7({ msecs: this.realMs + skewMs, random, seq: this.keys.length });
        }
        const agent = this.routers[router].agents[this.keys.length % Math.max(1, this.routers[router].agents.length)];
        return agent && this.signKey(agent.daemonId, agent.incarnation, `${this.keys.length}`, skewMs);
    }

    private send(key: Key, use: KeyUse, agentId: string, isStale: boolean, mayRedirect: boolean): void {
        const listening = this.processes.filter(process => process.agentId === agentId);
        const process = isStale ? listening[0] : listening.at(-1);
        if (process === undefined) {
            this.observeRefusal(key, use.requestId, "unknown");
        } else if (process.isPaused) {
            process.inbox.push(() => this.receive(process, key, use, mayRedirect));
        } else {
            this.receive(process, key, use, mayRedirect);
        }
    }

    private receive(process: Process, key: Key, use: KeyUse, mayRedirect: boolean): void {
        const delegateKey = process.isOut ? this.createDelegateKey(process) : undefined;
        const decision = process.table.resolve(use, this.getInstant(process), delegateKey);
        this.count(`${key.kind} ${decision.type}`);
        this.observeDecision(process, key, use, decision, mayRedirect);
    }

    private observeDecision(
        process: Process,
        key: Key,
        use: KeyUse,
        decision: KeyDecision,
        mayRedirect: boolean,
    ): void {
        if (decision.type === "run") {
            process.waiting.push({ keyHash: decision.keyHash, key, requestId: use.requestId });
        } else if (decision.type === "replay" && key.runs !== 1) {
            throw new Error(`${key.text}: replayed after ${key.runs} runs`);
        } else if (decision.type === "delegate") {
            const { agentId } = verifyIssuedKey(secret, decision.delegateKey)._unsafeUnwrap();
            if (mayRedirect) {
                this.send(key, { ...use, key: decision.delegateKey }, agentId, false, false);
            } else {
                this.observeRefusal(key, use.requestId, "unknown");
            }
        } else if (decision.type === "refuse" && decision.homeAgentId !== undefined && mayRedirect) {
            this.send(key, use, decision.homeAgentId, false, false);
        } else if (decision.type === "refuse") {
            this.observeRefusal(key, use.requestId, decision.refusal.execution);
        }
    }

    /** Each request's router names another home, with a key of its own. */
    private createDelegateKey(process: Process): string | undefined {
        const others = this.processes.filter(other => other.agentId !== process.agentId);
        const other = others[this.lastRequest % Math.max(1, others.length)];
        return other && this.signKey(other.agentId, other.incarnation, `delegate ${++this.lastDelegate}`, 0);
    }

    private signKey(agentId: string, incarnation: number, nonce: string, skewMs: number): string {
        const expiresAtMs = this.realMs + skewMs + timing.issuedLifetimeMs;
        return signIssuedKey(secret, { agentId, incarnation, service, clientAccount, expiresAtMs, nonce });
    }

    private observeRun(key: Key, requestId: string): void {
        key.runs++;
        key.startedAtMs ??= this.realMs;
        this.count(`${key.kind} started`);
        if (key.runs > 1) {
            throw new Error(`${key.kind} key ran ${key.runs} times`);
        }
        if (this.notRun.has(requestId)) {
            throw new Error(`${requestId} ran after its caller was told that it had not`);
        }
    }

    private observeRefusal(key: Key, requestId: string, execution: string | undefined): void {
        this.count(`${key.kind} ${execution ?? "withdrawn"}`);
        if (execution === "not-run" && key.runs > 0) {
            throw new Error(`not-run was said of a ${key.kind} key that ran`);
        }
        if (execution === "not-run" || execution === undefined) {
            this.notRun.add(requestId);
        }
    }

    private getInstant(process: Process): Instant {
        return { nowMs: this.realMs - 1_800_000_000_000, wallMs: this.realMs + process.skewMs };
    }

    private count(name: string): void {
        this.counts[name] = (this.counts[name] ?? 0) + 1;
    }
}
