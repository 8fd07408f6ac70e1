import { hashText } from "../../src/base/hash.js";
import { testAccounts } from "../../test/fakes/fleetDocument.js";
import type { TargetEvidence } from "./evidence.js";
import type { ProofRun } from "./proofRun.js";

/** A request at an engine: whose it was, when it began and ended, and its cost over the account's weight. */
interface ServedRun {
    readonly account: string;
    readonly beganAtMs: number;
    readonly endedAtMs: number;
    readonly normalizedCost: number;
}

/** The greatest gap in service between two backlogged accounts, its bound, and what each was given; over weight. */
export interface GapFigures {
    readonly gap: number;
    readonly bound: number;
    readonly served: Readonly<Record<string, number>>;
}

/** How old an agent's view of what others charged may be: the report's period, the claim's period, and their trips. */
const stalenessMs = 2_500;

/**
 * Measures the gap over a time in which all accounts were backlogged. The bound is that of test/fleet/agentFairness.test.ts:
 * for each of the two accounts its largest cost, the most that began for it while news was under way, and twice what it
 * had running, as service counts here when a request ends.
 */
export function computeGap(run: ProofRun, evidence: TargetEvidence, fromMs: number, toMs: number): GapFigures {
    const runs = listServedRuns(run, evidence);
    const accounts = testAccounts.map(account => account.name);
    const gained = new Map<string, number>(accounts.map(account => [account, 0]));
    let gap = 0;
    const ended = runs.filter(served => served.endedAtMs >= fromMs && served.endedAtMs < toMs);
    for (const served of ended.sort((a, b) => a.endedAtMs - b.endedAtMs)) {
        gained.set(served.account, (gained.get(served.account) ?? 0) + served.normalizedCost);
        gap = Math.max(gap, Math.max(...gained.values()) - Math.min(...gained.values()));
    }
    const parts = accounts.map(account => {
        const own = runs.filter(served => served.account === account && served.endedAtMs >= fromMs);
        return computePart(own.filter(served => served.beganAtMs < toMs));
    });
    const [largest = 0, second = 0] = parts.sort((a, b) => b - a);
    const served = Object.fromEntries([...gained].map(([account, service]) => [account, Math.round(service)]));
    return { gap: Math.round(gap), bound: Math.round(largest + second), served };
}

function computePart(runs: readonly ServedRun[]): number {
    const sum = (chosen: readonly ServedRun[]): number =>
        chosen.reduce((total, served) => total + served.normalizedCost, 0);
    let stale = 0;
    let running = 0;
    for (const { beganAtMs } of runs) {
        const begun = runs.filter(other => other.beganAtMs >= beganAtMs && other.beganAtMs <= beganAtMs + stalenessMs);
        stale = Math.max(stale, sum(begun));
        running = Math.max(
            running,
            sum(runs.filter(other => other.beganAtMs <= beganAtMs && other.endedAtMs > beganAtMs)),
        );
    }
    return Math.max(0, ...runs.map(served => served.normalizedCost)) + stale + 2 * running;
}

function listServedRuns(run: ProofRun, evidence: TargetEvidence): readonly ServedRun[] {
    const accounts = new Map(run.workload.chats.map(chat => [hashText(chat.prompt), chat.account]));
    const began = new Map<string, number>();
    const ended = new Map<string, number>();
    for (const event of evidence.events) {
        const times = event.kind === "target-run" ? began : event.kind === "request-ended" ? ended : undefined;
        times?.set(event.requestId ?? "", event.time.wallMs);
    }
    return [...evidence.engines.values()].flatMap(engine =>
        engine.runs.flatMap(seen => {
            const account = accounts.get(seen.promptDigest);
            const weight = testAccounts.find(candidate => candidate.name === account)?.weight;
            const beganAtMs = began.get(seen.requestId);
            const endedAtMs = ended.get(seen.requestId);
            if (account === undefined || weight === undefined || beganAtMs === undefined || endedAtMs === undefined) {
                return [];
            }
            const normalizedCost = (seen.promptTokens + seen.generatedTokens) / weight;
            return [{ account, beganAtMs, endedAtMs, normalizedCost }];
        }),
    );
}
