import type { GrantClient, GrantTransport } from "./grantClient.js";
import type { GrantMessage } from "./grantMessage.js";
import type { GrantOwner } from "./grantOwner.js";
import type { GrantSpeeds } from "./grantSpeeds.js";

/** Dispatches messages about grants: replies to the client, requests and reports to the owner. */
export class GrantExchange {
    public constructor(
        private readonly client: GrantClient,
        private readonly owner: GrantOwner,
        private readonly transport: GrantTransport,
        private readonly speeds: GrantSpeeds,
    ) {}

    /** `senderId`: id of a known router. */
    public handleMessage(senderId: string, message: GrantMessage): void {
        if (message.kind === "reply") {
            this.client.applyReply(senderId, message);
        } else if (message.kind === "report") {
            this.owner.applyReport(senderId, message);
            this.speeds.applyReport(senderId, message);
        } else {
            const reply = this.owner.check(senderId, message);
            if (!message.isUnconditional) {
                this.transport.send(senderId, this.speeds.addSpeed(senderId, message, reply));
            }
        }
    }
}
