import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { LynxarchError } from "../base/errors.js";
import { logLevels } from "../base/log.js";

const port = z.number().int().min(1).max(65_535);
const address = z.string().regex(/^[^:\s]+:\d{1,5}$/, "must be HOST:PORT");

/** Schema of a gateway's settings. Unknown keys are ignored, because the platform may add fields. */
export const gatewaySettingsSchema = z.object({
    /** Unique in the fleet. */
    daemonId: z.string().min(1),
    /** IP address of the VM. */
    ip: z.string().min(1),
    dataCentre: z.string().min(1),
    /** Address on which this router accepts callers. */
    callers: address,
    /** Address of the balancer's readiness check. */
    readiness: address,
    /** Address at which other routers read this router's configuration and targets; undefined: not served. */
    control: address.optional(),
    /** First and last port for traffic between routers; the same on all VMs. */
    peerPorts: z.tuple([port, port]).readonly(),
    /** Control addresses of up to three routers, which may be down. */
    seeds: z.array(address).readonly(),
    store: z.object({ address }),
    limits: z.object({
        memoryMb: z.number().positive(),
        maxDescriptors: z.number().int().positive(),
        /** Fraction of a processor core that the process may use. */
        processorShare: z.number().positive().default(1),
    }),
    /** Limits for connections to all addresses of this router. */
    clientLimits: z
        .object({
            /** Share of the memory for input that clients have sent ahead of responses, and for incomplete heads of requests. */
            heldInputShare: z.number().positive().max(0.5).default(0.125),
            /** Time after which a connection is closed whose client reads nothing of a response; milliseconds. */
            unreadTimeoutMs: z.number().positive().default(60_000),
            /** Bytes without a complete head of a request after which a connection is closed. */
            maxBytesWithoutRequest: z.number().int().min(65_536).default(131_072),
            /** Share of the descriptors for connections to each of the addresses for readiness, control and metrics. */
            managementConnectionShare: z.number().positive().max(0.1).default(0.05),
        })
        .prefault({}),
    /** Time that the platform allows a process to stop; seconds. */
    stopGraceSeconds: z.number().positive().default(8),
    /** Time after which a target that reported draining must receive no requests; the period of reads of records is derived from it. */
    drainMs: z.number().positive().default(2_000),
    /** Time without faults after which a VM must be up to date; the timeouts of calls to the store are derived from it. */
    contactMs: z.number().positive().default(3_000),
    /** Time after which a new configuration must be in force; the timeouts of reads of the operators' records are derived from it. */
    applyMs: z.number().positive().default(2_000),
    /** Approximate interval at which targets write their records; a record expires after three intervals without a write. */
    heartbeatMs: z.number().positive().default(1_200),
    /**
     * Timeout for connecting to a target. Waiting longer has no use: the kernel repeats a lost SYN packet only after a second, and another
     * target is usually available.
     */
    connectTimeoutMs: z.number().positive().default(350),
    /** Maximum body size of a target's response; longer responses are aborted, because a faulty target may send bytes without end. */
    mostAnswerBytes: z.number().int().positive().default(33_554_432),
    /** Maximum number of retries on all routers together: `ratio` of the first attempts within the window, plus `slack`. */
    retryBudget: z.object({
        ratio: z.number().min(0).default(0.1),
        windowSeconds: z.number().positive().default(10),
        slack: z.number().min(0),
    }),
    /** Maximum requests per second to a cold target from all routers together: its service's rate times `overage`, plus `slack`. */
    coldLimit: z.object({
        overage: z.number().positive().default(1),
        slack: z.number().min(0),
    }),
    /** Maximum exposure of a version during its roll-out, as it may be faulty: `share` of its service's requests, plus `slack`. */
    exposure: z
        .object({
            share: z.number().positive().max(1).default(0.1),
            slack: z.number().min(0).default(0),
        })
        .default({ share: 0.1, slack: 0 }),
    /**
     * Whether a saturated router hands new connections over to neighbours. Off by default: such a connection depends on two routers and is
     * lost if either of them fails.
     */
    handsOverConnections: z.boolean().default(false),
    /**
     * Whether a router that is short of processor time returns requests to their callers with a short Retry-After, while larger routers of
     * its data centre have spare processor time. Has no effect where the routers of a data centre have about the same processor share.
     */
    returnsRequests: z.boolean().default(false),
    /** Whether a router leaves the balancer while larger routers of its data centre have spare processor time for an even part of the work. */
    yieldsToLargerRouters: z.boolean().default(false),
    /** Whether callers' connections that have been idle longest are closed while most of the places for connections are taken. */
    closesIdleConnections: z.boolean().default(false),
    /**
     * Whether requests of accounts beyond their share may use engines' capacity that would otherwise be idle. Off by default: routers of
     * earlier builds drop the grant requests that are then sent, so that it must be set only once all routers run this build.
     */
    fillsSpareCapacity: z.boolean().default(false),
    /** The same, only at services whose engines report how long their work takes at the moment. */
    fillsReportedCapacity: z.boolean().default(false),
    /** Whether an engine is sent only as many requests as fit into the memory that its service's configuration states. */
    limitsEngineMemory: z.boolean().default(false),
    /** Whether this router's state is sent to one router of each other data centre, which forwards it to the others there. */
    relaysPeerMessages: z.boolean().default(false),
    /**
     * Cost of sending a KiB of a request's body to another data centre, for the selection of engines; milliseconds. Absent: a fixed cost for
     * each request.
     */
    interDataCentreMsPerKb: z.number().min(0).optional(),
    /** Window over which an account's fair share is computed; seconds. */
    shareWindowSeconds: z.number().positive().default(4),
    logLevel: z.enum(logLevels).default("info"),
    /** Port of the metrics page; undefined: not served. */
    metricsPort: port.optional(),
});

/** Validated settings of a gateway. */
export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;

/** The settings are missing, not valid JSON, or invalid; the message names each invalid field. */
export class GatewaySettingsError extends LynxarchError {
    public readonly code = "settings-invalid";
}

/** Reads and validates settings. Errors: unreadable file, invalid JSON, or invalid fields (one line each). */
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
