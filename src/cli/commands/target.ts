import type { Command } from "../command.js";
import { buildEditCommand, buildStateEdit } from "./stateCommands.js";

function buildCommand(word: string, state: "serving" | "draining", description: string): Command {
    return buildEditCommand({
        usage: `target ${word} <name>`,
        description,
        environment: "production",
        buildEdit: name =>
            buildStateEdit(
                "target",
                name,
                document => document.targets,
                document => ({
                    ...document,
                    targets: { ...document.targets, [name]: { ...document.targets[name], state } },
                }),
            ),
    });
}

/** Lets a target finish what runs and start nothing new. */
export const targetDrain = buildCommand("drain", "draining", "Let a target finish what runs and start nothing new");
/** Lets a drained target serve again. */
export const targetResume = buildCommand("resume", "serving", "Let a drained target serve again");
