import { createHash } from "node:crypto";
import { readFileSync } from "node:fs";
import type { Disposable } from "../base/lifecycle.js";
import type { Logger } from "../base/log.js";
import { parseGatewaySettings, type GatewaySettings } from "./settings.js";

/** Maximum delay until a change without a signal is noticed; reading a file of a few KB once a second has negligible cost. Milliseconds. */
const periodMs = 1_000;

/** Watches the settings file: the file is read on a signal, and also polled, because it may change without a signal. */
export class SettingsWatcher implements Disposable {
    private digest: string | undefined;
    private timer: NodeJS.Timeout | undefined;

    /** `onDidRead`: called with the new settings after a change, if they are valid. */
    public constructor(
        private readonly file: string,
        private readonly logger: Logger,
        private readonly onDidRead: (settings: GatewaySettings) => void,
    ) {}

    /** Starts polling; the current content does not count as a change. */
    public start(): void {
        this.digest = this.readDigest();
        this.timer = setInterval(() => this.read(), periodMs);
    }

    /** Reads the file now and reports changed settings. */
    public read(): void {
        const digest = this.readDigest();
        if (digest === undefined || digest === this.digest) {
            return;
        }
        this.digest = digest;
        parseGatewaySettings(() => readFileSync(this.file, "utf8"), this.file).match(
            settings => this.onDidRead(settings),
            error =>
                this.logger.write("error", "changed settings ignored: they are invalid", { detail: error.message }),
        );
    }

    public dispose(): void {
        clearInterval(this.timer);
    }

    private readDigest(): string | undefined {
        try {
            return createHash("sha256").update(readFileSync(this.file)).digest("hex");
        } catch (error) {
            // The file may be in the process of being replaced; the settings in force stay until it can be read again.
            this.logger.write("warn", "failed to read the settings file", { detail: String(error) });
            return undefined;
        }
    }
}
