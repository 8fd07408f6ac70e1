import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { LynxarchError } from "../base/errors.js";
import { logLevels } from "../base/log.js";

/** A settings file is missing, is no JSON, or has a fault; the message names the path of each fault. */
export class SettingsError extends LynxarchError {
    public readonly code = "settings-invalid";
}

const port = z.number().int().min(1).max(65_535);
const listenSchema = z.strictObject({ host: z.string().min(1), port });
const name = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/, "must be 1 to 64 letters, digits, or . _ -");
const address = z.string().regex(/^[^:\s]+:\d{1,5}$/, "must be HOST:PORT");

const commonSettings = {
    /** Unique over the fleet and stable over restarts. */
    daemonId: name,
    /** The VM's id on the platform's list. */
    vmId: name,
    environment: z.enum(["trial", "production"]),
    dataCentre: name,
    /** Health and control API. */
    listen: listenSchema,
    platform: z.strictObject({
        url: z.url(),
        /** How long the platform's log keeps records at least; milliseconds. Snapshots and renewals are timed by it. */
        logRetentionMs: z.number().int().min(60_000).default(3_600_000),
    }),
    /** File that holds the secret shared by all daemons; or `secretEnvironmentVariable`. */
    secretFile: z.string().min(1).optional(),
    secretEnvironmentVariable: z.string().min(1).optional(),
    /** Daemons to ask for the document and the roster when the platform is down at the start. */
    peers: z.array(address).default([]),
    statsd: z.strictObject({ host: z.string().min(1), port, prefix: z.string().default("lynxarch.") }).optional(),
    logLevel: z.enum(logLevels).default("info"),
    /** Events kept for the time line. */
    eventRingSize: z.number().int().min(100).max(1_000_000).default(20_000),
    /** Longest wait for running requests at a planned stop; milliseconds. */
    stopTimeoutMs: z.number().int().positive().default(600_000),
    /** Limits for connections to all addresses of this daemon. */
    clientLimits: z
        .strictObject({
            /** Memory for input that clients have sent ahead of responses, and for incomplete heads of requests; megabytes. */
            heldInputMb: z.number().positive().default(32),
            /** Memory for the bodies of requests that are being read; megabytes. */
            bodiesMb: z.number().positive().default(512),
            /** Connections to each address above which a new one replaces one without a request. */
            maxConnections: z.number().int().positive().default(8_000),
            /** Time after which a connection is closed whose client reads nothing of a response; milliseconds. */
            unreadTimeoutMs: z.number().positive().default(60_000),
            /** Bytes without a complete head of a request after which a connection is closed. */
            maxBytesWithoutRequest: z.number().int().min(65_536).default(131_072),
        })
        .prefault({}),
};

/** Schema of a daemon's settings file. Unknown keys are errors. */
export const settingsSchema = z
    .discriminatedUnion("role", [
        z.strictObject({
            role: z.literal("router"),
            ...commonSettings,
            /** Where callers reach this router, behind the balancer. */
            callers: listenSchema,
            /** Time between exchanges with one agent; milliseconds. */
            exchangePeriodMs: z.number().int().min(50).max(60_000).default(1_000),
        }),
        z.strictObject({
            role: z.literal("agent"),
            ...commonSettings,
            target: z.strictObject({ name, url: z.url() }),
            /** Time between looks at the target's load report; milliseconds. */
            loadPeriodMs: z.number().int().min(50).max(60_000).default(1_000),
        }),
    ])
    .refine(
        settings => (settings.secretFile === undefined) !== (settings.secretEnvironmentVariable === undefined),
        "exactly one of secretFile and secretEnvironmentVariable must be set",
    );

/** A daemon's settings, checked. */
export type Settings = z.output<typeof settingsSchema>;
/** Settings of a daemon of role router. */
export type RouterSettings = Extract<Settings, { role: "router" }>;
/** Settings of a daemon of role agent. */
export type AgentSettings = Extract<Settings, { role: "agent" }>;

/** Reads and checks a settings file. Errors: SettingsError with a line a fault. */
export function loadSettings(file: string): Result<Settings, SettingsError> {
    return readJson(file).andThen(value => parseSettings(value, file));
}

/** Checks settings that are already parsed JSON. */
export function parseSettings(value: unknown, file: string): Result<Settings, SettingsError> {
    const parsed = settingsSchema.safeParse(value);
    if (parsed.success) {
        return ok(parsed.data);
    }
    const lines = parsed.error.issues.map(issue => `  ${issue.path.join(".") || "(whole file)"}: ${issue.message}`);
    return err(new SettingsError(`${file} has faults:\n${lines.join("\n")}`));
}

/** Reads the shared secret that the settings name. Errors: file or variable missing or too short. */
export function readSecret(settings: Settings): Result<string, SettingsError> {
    const leastLength = 16;
    const source = settings.secretFile ?? `environment variable ${settings.secretEnvironmentVariable}`;
    const secret = settings.secretFile === undefined ? readVariable(settings) : readText(settings.secretFile);
    return secret.andThen(text =>
        text.length < leastLength
            ? err(new SettingsError(`the secret in ${source} is shorter than ${leastLength} characters`))
            : ok(text),
    );
}

function readVariable(settings: Settings): Result<string, SettingsError> {
    return ok((process.env[settings.secretEnvironmentVariable ?? ""] ?? "").trim());
}

function readText(file: string): Result<string, SettingsError> {
    try {
        return ok(readFileSync(file, "utf8").trim());
    } catch (cause) {
        return err(new SettingsError(`cannot read ${file}: ${describeCause(cause)}`, cause));
    }
}

function readJson(file: string): Result<unknown, SettingsError> {
    return readText(file).andThen(text => {
        try {
            return ok(JSON.parse(text) as unknown);
        } catch (cause) {
            return err(new SettingsError(`${file} is no JSON: ${describeCause(cause)}`, cause));
        }
    });
}

function describeCause(cause: unknown): string {
    return cause instanceof Error ? cause.message : String(cause);
}
