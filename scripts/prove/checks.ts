import { hashText } from "../../src/base/hash.js";
import { testAccounts } from "../../test/fakes/fleetDocument.js";
import type { TargetEvidence } from "./evidence.js";
import { computeGap } from "./fairness.js";
import { checkEvents } from "./historyChecks.js";
import type { Breach, PointNumber } from "./point.js";
import type { ProofRun } from "./proofRun.js";
import type { SeenCall } from "./workload.js";

const closureBoundMs = 3_000;
const documentBoundMs = 5_000;

/** All checks: by the stand-ins' counts, by the callers' answers, and by the merged history. */
export function checkRun(run: ProofRun, evidence: TargetEvidence): readonly Breach[] {
    return [
        ...run.breaches,
        ...checkGap(run, evidence),
        ...checkStarvation(run),
        ...checkColdLimit(evidence),
        ...checkClosures(run, evidence),
        ...checkAnswers(run),
        ...checkNotRun(run, evidence),
        ...checkAtMostOnce(evidence),
        ...checkNotes(run, evidence),
        ...checkCuts(run, evidence),
        ...checkOffsets(run),
        ...checkEvents(run, evidence),
    ];
}

function createBreach(point: PointNumber, evidence: string): Breach {
    return { point, evidence };
}

/** While all accounts were backlogged the gap between any two stays within its bound. */
function checkGap(run: ProofRun, evidence: TargetEvidence): readonly Breach[] {
    if (run.backlogged === undefined) {
        return [];
    }
    const { gap, bound, served } = computeGap(run, evidence, run.backlogged.fromMs, run.backlogged.toMs);
    const figures = `gap ${gap} of bound ${bound}, service over weight ${JSON.stringify(served)}`;
    console.log(`    ${figures}`);
    const starved = Object.keys(served).filter(account => served[account] === 0);
    return [
        ...(gap > bound ? [createBreach(1, figures)] : []),
        ...starved.map(account => createBreach(2, `${account} was backlogged and got nothing: ${figures}`)),
    ];
}

/** Every account that kept sending gets a whole answer after the faults have been healed. */
function checkStarvation(run: ProofRun): readonly Breach[] {
    const { healedAtMs } = run;
    if (healedAtMs === undefined) {
        return [];
    }
    return testAccounts
        .map(account => account.name)
        .filter(name => {
            const sent = run.workload.chats.filter(chat => chat.account === name && chat.startedAtMs >= healedAtMs);
            return sent.length > 0 && !sent.some(chat => chat.whole);
        })
        .map(name => createBreach(2, `${name} got no whole answer after the faults were healed`));
}

function checkColdLimit(evidence: TargetEvidence): readonly Breach[] {
    return [...evidence.engines].flatMap(([target, { overloads, coldLimit }]) =>
        overloads.map(({ open, coldForMs }) =>
            createBreach(3, `${target}, cold for ${coldForMs} ms, had ${open} at once, its limit is ${coldLimit}`),
        ),
    );
}

/** No run begins at a target from its bound after it was taken out until it is let in again. */
function checkClosures(run: ProofRun, evidence: TargetEvidence): readonly Breach[] {
    return run.closures.flatMap(closure => {
        const late = evidence.events.filter(
            event =>
                event.kind === "target-run" &&
                closure.targets.includes(event.target ?? "") &&
                event.time.wallMs > closure.fromMs + closureBoundMs &&
                event.time.wallMs < closure.toMs,
        );
        return late.map(event =>
            createBreach(
                closure.point,
                `${event.target} began ${event.requestId} ${event.time.wallMs - closure.fromMs} ms after it was taken out`,
            ),
        );
    });
}

/** Nobody gets a short answer that looks whole, or another's. */
function checkAnswers(run: ProofRun): readonly Breach[] {
    const chats = run.workload.chats
        .filter(chat => chat.failure === "silent")
        .map(chat => createBreach(5, `"${chat.prompt}" (${chat.requestId}) got a wrong answer that looks whole`));
    const calls = run.workload.calls
        .filter(call => call.status === 200)
        .filter(call => call.body.key !== call.key || call.body.bodyDigest !== hashText(call.sentBody))
        .map(call => createBreach(5, `key ${call.key} got another's answer: ${call.text}`));
    return [...chats, ...calls, ...checkReplays(run.workload.calls)];
}

/** All whole answers to one key are the same. */
function checkReplays(calls: readonly SeenCall[]): readonly Breach[] {
    const answers = new Map<string, string>();
    return calls
        .filter(call => call.status === 200)
        .flatMap(call => {
            const first = answers.get(call.key) ?? call.text;
            answers.set(call.key, first);
            return first === call.text
                ? []
                : [createBreach(5, `key ${call.key} got two answers: ${first} ${call.text}`)];
        });
}

function checkNotRun(run: ProofRun, evidence: TargetEvidence): readonly Breach[] {
    const ran = new Set([...evidence.engines.values()].flatMap(engine => engine.runs.map(seen => seen.promptDigest)));
    const chats = run.workload.chats
        .filter(chat => chat.execution === "not-run" && ran.has(hashText(chat.prompt)))
        .map(chat => createBreach(6, `"${chat.prompt}" (${chat.requestId}) was told not-run and did run`));
    return [...chats, ...checkNotRunCalls(run.workload.calls, evidence)];
}

/** A caller told "not-run" may send the call anew under a new key: it must not have run before that answer either. */
function checkNotRunCalls(calls: readonly SeenCall[], evidence: TargetEvidence): readonly Breach[] {
    const startedAtMs = new Map<string, number>();
    for (const event of evidence.events.filter(candidate => candidate.kind === "target-run")) {
        if (event.digest !== undefined) {
            startedAtMs.set(event.digest, Math.min(event.time.wallMs, startedAtMs.get(event.digest) ?? Infinity));
        }
    }
    return calls
        .filter(call => call.body.execution === "not-run")
        .filter(call => (startedAtMs.get(hashText(call.key)) ?? Infinity) < call.endedAtMs)
        .map(call => createBreach(6, `key ${call.key} was told not-run and had run: ${call.text}`));
}

function checkAtMostOnce(evidence: TargetEvidence): readonly Breach[] {
    return [...evidence.runsByKey]
        .filter(([, count]) => count > 1)
        .map(([key, count]) => createBreach(7, `key ${key} ran ${count} times`));
}

/** Calls without a key: at most one run each, none after "not-run", and the answer to its own body. */
function checkNotes(run: ProofRun, evidence: TargetEvidence): readonly Breach[] {
    return run.workload.notes.flatMap(note => {
        const digest = hashText(note.sentBody);
        const runs = evidence.runsByBody.get(digest) ?? 0;
        const wrong = note.status === 200 && note.body.bodyDigest !== digest;
        return [
            ...(runs > 1 ? [createBreach(7, `${note.sentBody} ran ${runs} times`)] : []),
            ...(runs > 0 && note.body.execution === "not-run"
                ? [createBreach(6, `${note.sentBody} ran and was told not-run: ${note.text}`)]
                : []),
            ...(wrong ? [createBreach(5, `${note.sentBody} got another's answer: ${note.text}`)] : []),
        ];
    });
}

/**
 * In runs whose only fault is a planned stop, what began at a target reaches its caller. A request that a stopping
 * daemon turns away before it has begun is not cut off.
 */
function checkCuts(run: ProofRun, evidence: TargetEvidence): readonly Breach[] {
    if (!run.expectNoCuts) {
        return [];
    }
    const ran = new Set([...evidence.engines.values()].flatMap(engine => engine.runs.map(seen => seen.promptDigest)));
    const chats = run.workload.chats
        .filter(chat => !chat.whole && ran.has(hashText(chat.prompt)))
        .map(chat => createBreach(9, `"${chat.prompt}" (${chat.requestId}) had begun and was ${chat.failure}`));
    const answered = new Set(run.workload.calls.filter(call => call.status === 200).map(call => call.key));
    const calls = [...new Set(run.workload.calls.map(call => call.key))]
        .filter(key => evidence.runsByKey.has(key) && !answered.has(key))
        .map(key => createBreach(9, `key ${key} ran and no caller got its answer`));
    return [...chats, ...calls];
}

/** The offset in force never falls within one process, and follows each change within its bound. */
function checkOffsets(run: ProofRun): readonly Breach[] {
    const highest = new Map<string, number>();
    return run.observer.offsets.flatMap(seen => {
        const process = `${seen.daemon} ${seen.incarnation}`;
        const before = highest.get(process) ?? -1;
        highest.set(process, Math.max(before, seen.offset));
        return seen.offset < before
            ? [createBreach(10, `${process} fell from offset ${before} to ${seen.offset}`)]
            : [];
    });
}

/** How long each change took until every daemon that answers had it in force; breaches beyond the bound. */
export async function checkChangeInForce(run: ProofRun, offset: number, sinceMs: number): Promise<number> {
    await run.fleet.waitForOffset(offset, documentBoundMs * 4).catch(() => undefined);
    const tookMs = Date.now() - sinceMs;
    if (tookMs > documentBoundMs) {
        run.recordBreach(10, `offset ${offset} was in force everywhere only after ${tookMs} ms`);
    }
    return tookMs;
}
