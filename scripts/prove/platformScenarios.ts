import { checkChangeInForce } from "./checks.js";
import type { ProofRun } from "./proofRun.js";
import { usualPoints, type Scenario } from "./scenario.js";

const settleMs = 1_500;
const outageMs = 5_000;
const operators = 4;

/** Faults of the platform and of operators who race one another. */
export const platformScenarios: readonly Scenario[] = [
    {
        name: "platform-down",
        summary: "the platform down while a router and an agent restart with no state",
        points: usualPoints,
        run: async run => {
            await run.sleep(settleMs);
            run.recordFault("platform down");
            await run.fleet.setPlatformFault("down");
            const daemons = [run.pick(run.fleet.routers), run.pick(run.fleet.agents)];
            for (const daemon of daemons) {
                await run.stopHard(daemon);
                run.fleet.startAgain(daemon);
            }
            await run.sleep(outageMs);
            await checkPeersDocument(run);
            await run.fleet.setPlatformFault("ok");
            await Promise.all(daemons.map(daemon => run.fleet.waitReady(daemon)));
        },
    },
    {
        name: "platform-slow",
        summary: "every answer of the platform late by 1.5 s while documents change",
        points: usualPoints,
        run: async run => {
            run.recordFault("platform slow");
            await run.fleet.setPlatformFault("slow", { delayMs: 1_500 });
            for (let change = 0; change < 3; change++) {
                await applyWeight(run, 2 + change);
            }
            await run.fleet.setPlatformFault("ok");
        },
    },
    {
        name: "platform-loses-answers",
        summary: "appends take effect and their answers are lost, while agents restart and register anew",
        points: usualPoints,
        run: async run => {
            run.recordFault("platform loses answers");
            await run.fleet.setPlatformFault("lose-answers");
            const agent = run.pick(run.fleet.agents);
            await run.stopHard(agent);
            run.fleet.startAgain(agent);
            await run.sleep(outageMs);
            await run.fleet.setPlatformFault("ok");
            await run.fleet.waitReady(agent);
        },
    },
    {
        name: "operators-race",
        summary:
            "several operators append conflicting changes on one basis; the first in log order must win everywhere",
        points: [10],
        run: runRace,
    },
    {
        name: "log-retention",
        summary: "a fleet outlives its log's retention, then is restarted daemon by daemon",
        points: [10],
        options: { platformArgs: ["--retention-ms", "6000"] },
        run: async run => {
            await applyWeight(run, 2);
            await run.sleep(9_000);
            for (const daemon of run.fleet.daemons) {
                await run.stopHard(daemon);
                await run.startAgain(daemon);
            }
            await applyWeight(run, 3);
        },
    },
];

/** A change that no fault should keep from being in force everywhere in time. */
async function applyWeight(run: ProofRun, weight: number): Promise<void> {
    const change = await run.applyPatch([{ op: "replace", path: "/clientAccounts/middle/weight", value: weight }]);
    await checkChangeInForce(run, change.offset, change.atMs);
}

/** Daemons that restarted with the platform down must have the document from a peer. */
async function checkPeersDocument(run: ProofRun): Promise<void> {
    for (const daemon of run.fleet.daemons) {
        const status = await run.fleet.fetchStatus(daemon);
        if (status === undefined || status.documentOffset < 0) {
            run.recordBreach(10, `${daemon.name} has no document ${outageMs} ms after its restart in an outage`);
        }
    }
}

async function runRace(run: ProofRun): Promise<void> {
    for (let round = 0; round < 3; round++) {
        const basis = run.changes.at(-1)?.offset ?? 0;
        const atMs = Date.now();
        run.recordFault(`${operators} operators race on offset ${basis}`);
        const offsets = await Promise.all(
            [...Array(operators).keys()].map(operator => {
                const weight = 100 + round * operators + operator;
                const patch = [{ op: "replace", path: "/clientAccounts/middle/weight", value: weight }];
                return run.fleet
                    .applyChange(`race-${round}-${operator}`, basis, patch)
                    .then(offset => ({ offset, weight }));
            }),
        );
        const winner = offsets.reduce((first, other) => (other.offset < first.offset ? other : first));
        run.changes.push({ offset: winner.offset, atMs });
        await checkChangeInForce(run, winner.offset, atMs);
        for (const daemon of run.fleet.daemons) {
            const accepted = await run.fleet.fetchDocument(daemon);
            const weight = accepted?.document.clientAccounts.middle?.weight;
            if (accepted?.offset !== winner.offset || weight !== winner.weight) {
                run.recordBreach(
                    10,
                    `${daemon.name} has offset ${accepted?.offset} and weight ${weight}, the winner was ${winner.offset} with ${winner.weight}`,
                );
            }
        }
    }
}
