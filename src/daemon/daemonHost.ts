import type { CancellationToken } from "../base/cancellation.js";
import { DisposableStore } from "../base/lifecycle.js";
import type { ControlHost, EventPage } from "../control/host.js";
import type { DaemonStatus, RosterEntry } from "../control/schemas.js";
import type { AcceptedDocument } from "../document/schema.js";
import type { ClientShare } from "../fleet/clientShare.js";
import { sleepOnTimer } from "../base/sleep.js";
import type { CommonParts } from "./commonParts.js";
import type { Daemon } from "./daemon.js";
import { Membership } from "./membership.js";

const stopPollMs = 50;

/** What daemons of both roles answer on their control API, and how they stop. */
export abstract class DaemonHost implements Daemon, ControlHost {
    protected readonly store = new DisposableStore();
    protected readonly membership: Membership;

    /** `listServices`: see {@link Membership}. */
    protected constructor(
        protected readonly parts: CommonParts,
        listServices: () => readonly string[] | undefined,
    ) {
        this.membership = this.store.add(new Membership(parts, listServices));
    }

    public abstract getStatus(): DaemonStatus;
    public abstract listShares(): readonly ClientShare[];

    /** Takes nothing new from here on. */
    protected abstract stopTaking(token: CancellationToken): Promise<void>;
    /** Requests that are not ended yet. */
    protected abstract countOpen(): number;
    /** Responses that their readers have not taken completely. */
    protected abstract countUnsent(): number;
    /** All requests are ended and the daemon is out of the roster. */
    protected abstract stopListening(): void;

    public async stop(token: CancellationToken): Promise<void> {
        this.parts.events.record({ kind: "daemon-stopping" });
        await this.stopTaking(token);
        while (this.countOpen() > 0 && !token.isCancelled) {
            await sleepOnTimer(stopPollMs, token);
        }
        await this.membership.removeSelf(token);
        this.stopListening();
        while (this.countUnsent() > 0 && !token.isCancelled) {
            await sleepOnTimer(stopPollMs, token);
        }
        this.parts.events.record({ kind: "daemon-stopped" });
    }

    public listEvents(sinceSequence: number): EventPage {
        const events = this.parts.events.listSince(sinceSequence);
        return { events, firstSequence: events[0]?.sequence ?? sinceSequence + 1 };
    }

    public getDocument(): AcceptedDocument | undefined {
        return this.parts.documents.buildPeerDocument();
    }

    public listRoster(): readonly RosterEntry[] {
        return this.parts.listRoster();
    }

    public dispose(): void {
        this.store.dispose();
    }
}
