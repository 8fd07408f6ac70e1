import { err, ok, safeTry, type Result } from "neverthrow";
import type { AcceptedDocument, EnvironmentDocument } from "../../document/schema.js";
import { reportChange } from "../changeReport.js";
import { CommandFailedError, ConflictError, type CliError } from "../cliErrors.js";
import type { Command, Report } from "../command.js";
import { getNumber, hasFlag, waitOption } from "../options.js";
import { applyDocument } from "./documentApply.js";

/** Takes exactly what trial has accepted over to production. */
export const documentPromote: Command = {
    usage: "document promote",
    description: "Put exactly the document that trial has accepted in force in production",
    options: [
        { name: "trial-offset", kind: "number", description: "Promote only if this is trial's accepted offset" },
        {
            name: "allow-return",
            kind: "flag",
            description:
                "Also when that brings back a data centre that is out, or a target that is draining, in production",
        },
        waitOption,
    ],
    run: (invocation, context) =>
        safeTry<Report, CliError>(async function* () {
            const trial = yield* context.openDocument("trial");
            const production = yield* context.openDocument("production");
            const { document, offset } = yield* checkTrialOffset(
                yield* await trial.readAccepted(),
                getNumber(invocation, "trial-offset"),
            );
            yield* await production.readKnown();
            yield* checkReturning(production.accepted?.document, document, hasFlag(invocation, "allow-return"));
            const basis = production.accepted?.offset ?? -1;
            const origin = { environment: "trial", offset };
            const applied = yield* await applyDocument(production, document, basis, origin);
            return ok(await reportChange("production", applied, invocation, context));
        }),
};

function checkTrialOffset(
    accepted: AcceptedDocument,
    expected: number | undefined,
): Result<AcceptedDocument, ConflictError> {
    return expected === undefined || expected === accepted.offset
        ? ok(accepted)
        : err(new ConflictError(`trial has accepted offset ${accepted.offset}, not ${expected}; nothing was changed`));
}

/**
 * Refuses to bring back what production has taken out of service and trial has not. An operator who promotes some other
 * change would do it without a word: requests would go to a zone that was taken out because it fails.
 */
function checkReturning(
    production: EnvironmentDocument | undefined,
    next: EnvironmentDocument,
    isAllowed: boolean,
): Result<void, CommandFailedError> {
    const returning = listReturning(production, next);
    return isAllowed || returning.length === 0
        ? ok(undefined)
        : err(
              new CommandFailedError(
                  `this would bring back into service in production: ${returning.join(", ")}; nothing was changed. ` +
                      `Take them out in trial as well, or give --allow-return`,
              ),
          );
}

function listReturning(production: EnvironmentDocument | undefined, next: EnvironmentDocument): readonly string[] {
    const dataCentres = Object.entries(production?.dataCentres ?? {})
        .filter(([name, dataCentre]) => dataCentre.state === "out" && next.dataCentres[name]?.state === "in")
        .map(([name]) => `data centre ${name}`);
    const targets = Object.entries(production?.targets ?? {})
        .filter(([name, target]) => target.state === "draining" && next.targets[name]?.state === "serving")
        .map(([name]) => `target ${name}`);
    return [...dataCentres, ...targets];
}
