import type { Command } from "./command.js";
import { accountCreate } from "./commands/accountCreate.js";
import { dataCentreIn, dataCentreOut } from "./commands/dataCentre.js";
import { documentApply } from "./commands/documentApply.js";
import { documentCheck } from "./commands/documentCheck.js";
import { documentDiff } from "./commands/documentDiff.js";
import { documentHistory } from "./commands/documentHistory.js";
import { documentPromote } from "./commands/documentPromote.js";
import { documentRestore } from "./commands/documentRestore.js";
import { documentShow } from "./commands/documentShow.js";
import { explain } from "./commands/explain.js";
import { explainPlacement } from "./commands/explainPlacement.js";
import { heldList, heldRelease, heldReleasePart } from "./commands/held.js";
import { keyIssue } from "./commands/keyIssue.js";
import { rollouts } from "./commands/rollouts.js";
import { shares } from "./commands/shares.js";
import { status } from "./commands/status.js";
import { targetDrain, targetResume } from "./commands/target.js";
import { timeline } from "./commands/timeline.js";

/** Every command of `lynxarch`, in the order of its help. */
export const commandList: readonly Command[] = [
    documentCheck,
    documentDiff,
    documentApply,
    documentPromote,
    documentShow,
    documentHistory,
    documentRestore,
    status,
    shares,
    timeline,
    explain,
    dataCentreOut,
    dataCentreIn,
    targetDrain,
    targetResume,
    heldList,
    heldRelease,
    heldReleasePart,
    rollouts,
    explainPlacement,
    accountCreate,
    keyIssue,
];
