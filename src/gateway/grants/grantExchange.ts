import type { GrantClient, GrantTransport } from "./grantClient.js";
import type { GrantMessage } from "./grantMessage.js";
import type { GrantOwner } from "./grantOwner.js";

/** Routes messages about grants to the side of this router that they concern. */
export class GrantExchange {
    public constructor(
        private readonly client: GrantClient,
        private readonly owner: GrantOwner,
        private readonly transport: GrantTransport,
    ) {}

    /** `senderId`: a router that this one knows. */
    public handleMessage(senderId: string, message: GrantMessage): void {
        if (message.kind === "reply") {
            this.client.applyReply(senderId, message);
        } else if (message.kind === "report") {
            this.owner.applyReport(senderId, message);
        } else {
            const reply = this.owner.check(senderId, message);
            if (!message.isUnconditional) {
                this.transport.send(senderId, reply);
            }
        }
    }
}
