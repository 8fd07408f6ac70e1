import { err, ok, safeTry, type Result } from "neverthrow";
import { fetchPlacementExplanation } from "../../gateway/explanations/explainPlacementApi.js";
import type {
    ExplainedCandidate,
    ExplainedDecision,
    PlacementAnswer,
    PlacementExplanation,
    PlacementQuestion,
} from "../../gateway/explanations/placementExplanation.js";
import { CommandFailedError, UnavailableError, UsageError, type CliError } from "../cliErrors.js";
import type { Command, Invocation, Report } from "../command.js";
import { getNumber, getText } from "../options.js";
import { getRouterAddress, routerOption } from "../routerOption.js";
import { formatTable } from "../table.js";

/** An id without separators, and up to twelve digits, as in the header that lists a prompt's parts. */
const partPattern = /^([^:,\s]+):(\d{1,12})$/;
const msPerSecond = 1_000;

/** Asks a router where a request would be placed now, and why. */
export const explainPlacement: Command = {
    usage: "explain-placement",
    description: "Ask a router where such a request would be placed now and why; nothing is sent",
    options: [
        routerOption,
        { name: "route", kind: "text", description: "Name of the route" },
        { name: "account", kind: "text", description: "Name of the client account" },
        { name: "parts", kind: "text", description: "Parts of the prompt as ID:TOKENS,…; the last one is its own" },
        { name: "prompt-tokens", kind: "number", description: "Prompt tokens; the sum of the parts when left out" },
        { name: "max-output", kind: "number", description: "Most tokens to generate", defaultValue: 0 },
    ],
    run: invocation =>
        safeTry<Report, CliError>(async function* () {
            const address = yield* getRouterAddress(invocation);
            const question = yield* parseQuestion(invocation);
            const answer = yield* await fetchPlacementExplanation(address, question).mapErr(
                error => new UnavailableError(error.message),
            );
            const explanation = yield* getExplanation(answer, question, address);
            return ok({ json: explanation, lines: renderExplanation(explanation) });
        }),
};

function parseQuestion(invocation: Invocation): Result<PlacementQuestion, UsageError> {
    const route = getText(invocation, "route");
    if (route === undefined) {
        return err(new UsageError("--route must name a route"));
    }
    const counts = ["prompt-tokens", "max-output"].map(name => [name, getNumber(invocation, name)] as const);
    for (const [name, count] of counts) {
        if (count !== undefined && !(Number.isSafeInteger(count) && count >= 0)) {
            return err(new UsageError(`--${name} must be a whole number of tokens`));
        }
    }
    const [promptTokens, maxOutputTokens = 0] = counts.map(([, count]) => count);
    return parseParts(getText(invocation, "parts")).map(parts => ({
        route,
        account: getText(invocation, "account"),
        parts,
        promptTokens,
        maxOutputTokens,
    }));
}

function parseParts(text: string | undefined): Result<PlacementQuestion["parts"], UsageError> {
    const parts: PlacementQuestion["parts"] = [];
    for (const entry of text === undefined ? [] : text.split(",")) {
        const [, id, tokens] = partPattern.exec(entry) ?? [];
        if (id === undefined) {
            return err(new UsageError(`--parts must be ID:TOKENS entries, separated by commas; "${entry}" is not one`));
        }
        parts.push({ id, tokens: Number(tokens) });
    }
    return ok(parts);
}

function getExplanation(
    answer: PlacementAnswer,
    { route, account }: PlacementQuestion,
    address: string,
): Result<PlacementExplanation, CommandFailedError> {
    switch (answer.kind) {
        case "explained":
            return ok(answer.explanation);
        case "no-configuration":
            return err(new CommandFailedError(`${address} has no configuration yet`));
        case "unknown-route":
            return err(new CommandFailedError(`${address} has no route "${route}"; it has ${answer.known.join(", ")}`));
        case "unknown-account":
            return err(new CommandFailedError(`${address} has no account "${account}"`));
    }
}

/** The explanation as text. */
export function renderExplanation(explanation: PlacementExplanation): readonly string[] {
    const { chosen, bounds, share, services } = explanation;
    const age = explanation.targetsViewAgeMs;
    return [
        `router ${explanation.router} in ${explanation.dataCentre}, configuration ${explanation.configurationVersion}, ` +
            `${explanation.peers} other routers, targets as of ${age === undefined ? "never" : `${formatMs(age)} ago`}`,
        `request on ${explanation.route} (objective ${formatMs(explanation.objectiveMs)}): ` +
            `${explanation.promptTokens} prompt tokens, ${formatNumber(explanation.expectedOutputTokens)} expected output tokens, ` +
            `charged ${formatNumber(explanation.chargedTokens)}`,
        `account ${explanation.account ?? "none"}: share ${formatRatio(share.share)}, surplus ${formatRatio(share.surplus)}, ` +
            `may use ${formatRatio(share.maxUsage)} of an engine's limit; other routers' sums ${formatMs(share.sumsAgeMs)} old`,
        ...services.flatMap(renderService),
        chosen === undefined
            ? "placed: nowhere"
            : `placed: ${chosen.target} of ${chosen.service}, expected after ${formatMs(chosen.expectedMs)}, ` +
              `${formatMs(chosen.unloadedMs)} without other load`,
        ...(bounds === undefined
            ? []
            : [
                  `bounds: wait at most ${formatMs(bounds.maxWaitMs)}, at most ${formatRatio(bounds.maxUsage)} of the engine's limit, ` +
                      `beyond that refused as ${bounds.reason}`,
              ]),
        `decision: ${describeDecision(explanation.decision)}`,
    ];
}

function renderService({
    service,
    probability,
    candidates,
    excluded,
}: PlacementExplanation["services"][number]): readonly string[] {
    const termNames = [...new Set(candidates.flatMap(({ terms }) => Object.keys(terms)))];
    const header = ["TARGET", "DATA CENTRE", "VERSION", "COST MS", ...termNames, "NEW", "QUEUED", "RUNNING", "COPY"];
    const table = formatTable([header, ...candidates.map(candidate => describeCandidate(candidate, termNames))]);
    const isSampled = candidates.some(({ isAlwaysCompared }) => !isAlwaysCompared);
    return [
        `service ${service}, tried first by ${formatRatio(probability * 100)} % of requests`,
        ...(candidates.length === 0 ? ["  no target can receive it"] : table.map(line => `  ${line}`)),
        ...(isSampled ? ["  a request compares the targets with * and three drawn at random"] : []),
        ...excluded.map(({ target, reason }) => `  not ${target}: ${reason}`),
    ];
}

function describeCandidate(candidate: ExplainedCandidate, termNames: readonly string[]): readonly string[] {
    const { target, dataCentre, version, costMs, terms, newTokens, queuedTokens, running, slots, copy } = candidate;
    return [
        `${target}${candidate.isAlwaysCompared ? "*" : ""}`,
        dataCentre,
        version ?? "-",
        formatNumber(costMs),
        ...termNames.map(name => formatNumber(terms[name] ?? 0)),
        formatNumber(newTokens),
        formatNumber(queuedTokens),
        `${running} of ${slots}`,
        copy === undefined ? "-" : `${copy.tokens} from ${copy.from}`,
    ];
}

function describeDecision(decision: ExplainedDecision): string {
    switch (decision.decidedBy) {
        case "none":
            return `refused as ${decision.reason}, retry after ${formatMs(decision.retryAfterMs)}`;
        case "wait":
            return decision.isAdmitted
                ? `admitted, as it waits no longer than ${formatMs(decision.maxWaitMs)}`
                : `refused as late, as it may wait ${formatMs(decision.maxWaitMs)}; retry after ${formatMs(decision.retryAfterMs ?? 0)}`;
        case "memory":
            return (
                `refused as ${decision.reason} by a recent denial that holds for ${formatMs(decision.deniedMs)}; ` +
                `retry after ${formatMs(decision.retryAfterMs)}`
            );
        case "owner": {
            const { isAdmitted, reason, retryAfterMs } = decision.withoutReply;
            const own = isAdmitted ? "admitted" : `refused as ${reason}, retry after ${formatMs(retryAfterMs ?? 0)}`;
            return decision.owner === undefined
                ? `no owner to ask; by this router's estimates ${own}`
                : `${decision.owner} owns the engine and would be asked; without its reply ${own}`;
        }
    }
}

function formatMs(ms: number): string {
    return ms >= msPerSecond ? `${(ms / msPerSecond).toFixed(1)} s` : `${ms.toFixed(0)} ms`;
}

function formatRatio(value: number): string {
    return String(Number(value.toFixed(2)));
}

function formatNumber(value: number): string {
    return String(Number(value.toFixed(1)));
}
