import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { listFaults } from "../document/parseDocument.js";
import { CliSettingsError } from "./cliErrors.js";

const environmentSchema = z.strictObject({
    /** Base URL of the platform that holds the environment's log. */
    platformUrl: z.url({ protocol: /^https?$/ }),
    /** Control addresses (host:port) of daemons to ask for the roster while the platform is down. */
    daemons: z.array(z.string().regex(/^[^:\s]+:\d{1,5}$/, "must be HOST:PORT")).default([]),
});

const cliSettingsSchema = z.strictObject({
    environments: z.strictObject({
        trial: environmentSchema.optional(),
        production: environmentSchema.optional(),
    }),
    /** File that holds the secret shared with the daemons; needed to ask them for their status. */
    secretFile: z.string().min(1).optional(),
});

/** Names of the environments. */
export const environmentNames = ["trial", "production"] as const;
/** An environment. */
export type EnvironmentName = (typeof environmentNames)[number];
/** Settings of one environment. */
export type EnvironmentSettings = z.output<typeof environmentSchema>;
/** Settings of `lynxarch`. */
export type CliSettings = z.output<typeof cliSettingsSchema>;

/** Reads and checks the settings file. Errors: missing, no JSON, or the path of each fault. */
export function loadCliSettings(file: string | undefined): Result<CliSettings, CliSettingsError> {
    if (file === undefined) {
        return err(new CliSettingsError("no settings file: give --settings FILE or set LYNXARCH_SETTINGS"));
    }
    return readText(file).andThen(text => parseCliSettings(text, file));
}

/** The settings of an environment. Errors: it is not in the file. */
export function getEnvironment(
    settings: CliSettings,
    name: EnvironmentName,
): Result<EnvironmentSettings, CliSettingsError> {
    const environment = settings.environments[name];
    return environment === undefined
        ? err(new CliSettingsError(`settings: /environments/${name} is not set`))
        : ok(environment);
}

/** Reads the secret shared with the daemons. Errors: not set, missing or empty. */
export function readCliSecret(settings: CliSettings): Result<string, CliSettingsError> {
    if (settings.secretFile === undefined) {
        return err(new CliSettingsError("settings: /secretFile is not set, so the daemons cannot be asked"));
    }
    return readText(settings.secretFile).andThen(text =>
        text.trim() === "" ? err(new CliSettingsError("settings: /secretFile names an empty file")) : ok(text.trim()),
    );
}

function parseCliSettings(text: string, file: string): Result<CliSettings, CliSettingsError> {
    let value: unknown;
    try {
        value = JSON.parse(text);
    } catch {
        return err(new CliSettingsError(`${file}: not JSON`));
    }
    const parsed = cliSettingsSchema.safeParse(value);
    if (parsed.success) {
        return ok(parsed.data);
    }
    const lines = listFaults(parsed.error).map(fault => `  ${fault.path || "(whole file)"}: ${fault.message}`);
    return err(new CliSettingsError(`${file} has faults:\n${lines.join("\n")}`));
}

function readText(file: string): Result<string, CliSettingsError> {
    try {
        return ok(readFileSync(file, "utf8"));
    } catch (error) {
        const code = (error as NodeJS.ErrnoException).code ?? "unreadable";
        return err(new CliSettingsError(`cannot read ${file}: ${code}`));
    }
}
