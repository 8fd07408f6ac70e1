import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import type { Disposable } from "../base/lifecycle.js";
import type { Logger } from "../base/log.js";
import { parseGatewaySettings, type GatewaySettings } from "./settings.js";

/** A change without a signal is seen within this time; reading a file of a few KB once a second costs next to nothing. */
const periodMs = 1_000;

/** Follows the settings file: by signal, and by looking at it, as it may change without one. */
export class SettingsWatcher implements Disposable {
    private digest: string | undefined;
    private timer: NodeJS.Timeout | undefined;

    /** `onDidRead`: the file holds other settings than before, and they are sound. */
    public constructor(
        private readonly file: string,
        private readonly logger: Logger,
        private readonly onDidRead: (settings: GatewaySettings) => void,
    ) {}

    /** Begins to look at the file; what it holds now is taken as known. */
    public start(): void {
        this.digest = this.readDigest();
        this.timer = setInterval(() => this.read(), periodMs);
    }

    /** Looks at the file now. */
    public read(): void {
        const digest = this.readDigest();
        if (digest === undefined || digest === this.digest) {
            return;
        }
        this.digest = digest;
        parseGatewaySettings(() => readFileSync(this.file, "utf8"), this.file).match(
            settings => this.onDidRead(settings),
            error => this.logger.write("error", "changed settings are left aside", { detail: error.message }),
        );
    }

    public dispose(): void {
        clearInterval(this.timer);
    }

    private readDigest(): string | undefined {
        try {
            return createHash("sha256").update(readFileSync(this.file)).digest("hex");
        } catch (error) {
            // The file is being replaced; the settings in force hold until it can be read again.
            this.logger.write("warn", "the settings file can't be read", { detail: String(error) });
            return undefined;
        }
    }
}
