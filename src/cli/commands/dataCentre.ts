import type { Command } from "../command.js";
import { buildEditCommand, buildStateEdit } from "./stateCommands.js";

function buildCommand(state: "in" | "out", description: string): Command {
    return buildEditCommand({
        usage: `datacentre ${state} <name>`,
        description,
        environment: "production",
        buildEdit: name =>
            buildStateEdit(
                "data centre",
                name,
                document => document.dataCentres,
                document => ({
                    ...document,
                    dataCentres: { ...document.dataCentres, [name]: { ...document.dataCentres[name], state } },
                }),
            ),
    });
}

/** Takes a data centre out of service. */
export const dataCentreOut = buildCommand("out", "Take a data centre out of service: nothing new starts there");
/** Brings a data centre back into service. */
export const dataCentreIn = buildCommand("in", "Bring a data centre back into service");
