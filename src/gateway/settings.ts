import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { LynxarchError } from "../base/errors.js";
import { logLevels } from "../base/log.js";

const port = z.number().int().min(1).max(65_535);
const address = z.string().regex(/^[^:\s]+:\d{1,5}$/, "must be HOST:PORT");

/** Schema of a gateway's settings. Unknown keys are left aside: the platform may add fields. */
export const gatewaySettingsSchema = z.object({
    /** Unique over the fleet. */
    daemonId: z.string().min(1),
    /** IP address of the VM. */
    ip: z.string().min(1),
    dataCentre: z.string().min(1),
    /** Where callers reach this router. */
    callers: address,
    /** Where the balancer asks whether the router is ready. */
    readiness: address,
    /** Where other routers read this router's configuration and targets; undefined: nowhere. */
    control: address.optional(),
    /** Ports for messages between routers, first and last; the same on all VMs. */
    peerPorts: z.tuple([port, port]).readonly(),
    /** Control addresses of up to three routers, perhaps down. */
    seeds: z.array(address).readonly(),
    store: z.object({ address }),
    limits: z.object({
        memoryMb: z.number().positive(),
        maxDescriptors: z.number().int().positive(),
        /** Part of a core that the process may use. */
        processorShare: z.number().positive().default(1),
    }),
    /** How long the platform gives a process to stop. */
    stopGraceSeconds: z.number().positive().default(8),
    /** A target that reported that it is draining must get no requests after this time; how often records are read follows. */
    drainMs: z.number().positive().default(2_000),
    /** A VM that nothing disturbed for so long must be up to date; how long calls to the store wait follows. */
    contactMs: z.number().positive().default(3_000),
    /** A configuration must be in force after this time; how long reads of the operators' records wait follows. */
    applyMs: z.number().positive().default(2_000),
    /** Targets write their records about so often; a record lapses after three such times of silence. */
    heartbeatMs: z.number().positive().default(1_200),
    /**
     * A connection to a target that is not up by then is not worth waiting for: a lost opening packet is sent again only
     * after a second, and another target is at hand.
     */
    connectTimeoutMs: z.number().positive().default(350),
    /** A target's answer with a longer body is broken off: a target in trouble may send bytes without end. */
    mostAnswerBytes: z.number().int().positive().default(33_554_432),
    /** Requests sent once more, over all routers: `ratio` of the first sends within the window, and `slack` on top. */
    retryBudget: z.object({
        ratio: z.number().min(0).default(0.1),
        windowSeconds: z.number().positive().default(10),
        slack: z.number().min(0),
    }),
    /** What a cold target bears in a second, over all routers: its service's rate times `overage`, and `slack` on top. */
    coldLimit: z.object({
        overage: z.number().positive().default(1),
        slack: z.number().min(0),
    }),
    /** What a version that may be bad gets while it is rolled out: `share` of its service's requests, and `slack` on top. */
    exposure: z
        .object({
            share: z.number().positive().max(1).default(0.1),
            slack: z.number().min(0).default(0),
        })
        .default({ share: 0.1, slack: 0 }),
    /**
     * Whether a saturated router hands new connections to neighbours. Off: such a connection depends on two routers, and is lost with
     * either of them.
     */
    handsOverConnections: z.boolean().default(false),
    /** Span over which an account's fair share is worked out. */
    shareWindowSeconds: z.number().positive().default(4),
    logLevel: z.enum(logLevels).default("info"),
    /** Port of the metrics page; undefined: none. */
    metricsPort: port.optional(),
});

/** A gateway's settings, checked. */
export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;

/** The settings are missing, no JSON, or have a fault; the message names the field of each fault. */
export class GatewaySettingsError extends LynxarchError {
    public readonly code = "settings-invalid";
}

/** Reads and checks settings. Errors: unreadable, no JSON, or faults with a line each. */
export function parseGatewaySettings(
    readText: () => string,
    file: string,
): Result<GatewaySettings, GatewaySettingsError> {
    let value: unknown;
    try {
        value = JSON.parse(readText());
    } catch (cause) {
        const detail = cause instanceof Error ? cause.message : String(cause);
        return err(new GatewaySettingsError(`cannot read ${file}: ${detail}`, cause));
    }
    const parsed = gatewaySettingsSchema.safeParse(value);
    if (parsed.success) {
        return ok(parsed.data);
    }
    const lines = parsed.error.issues.map(issue => `  ${issue.path.join(".") || "(whole file)"}: ${issue.message}`);
    return err(new GatewaySettingsError(`${file} has faults:\n${lines.join("\n")}`));
}
