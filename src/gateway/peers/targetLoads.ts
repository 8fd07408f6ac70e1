import type { Target, PeerLoad } from "../target.js";
import type { TargetDirectory } from "../targetDirectory.js";
import type { PeerMessage, TargetLoad } from "./peerMessage.js";

const noLoad: PeerLoad = { waitingTokens: 0, running: 0 };

/** Reports what this router has under way at targets, and applies what its peers report. */
export class TargetLoads {
    public constructor(private readonly directory: TargetDirectory) {}

    /** What this router has under way, for its next message. */
    public listOwn(): readonly TargetLoad[] {
        return this.directory.listAll().filter(isReported).map(createLoad);
    }

    /** Takes the sums over all peers, by the hash of the target's id. */
    public applyPeerLoads(loads: ReadonlyMap<number, PeerLoad>): void {
        for (const target of this.directory.listAll()) {
            target.peerLoad = loads.get(target.idHash) ?? noLoad;
        }
    }

    /** Takes what a peer's requests wrote into targets' memories. */
    public applyMessage({ targets, reads }: PeerMessage): void {
        for (const load of targets) {
            this.directory.findByHash(load.targetHash)?.recordPeerWrittenTokens(load.writtenTokens);
        }
        for (const read of reads) {
            this.directory.findByHash(read.targetHash)?.recordPart(read.partId, read.tokens);
        }
    }
}

function isReported(target: Target): boolean {
    return target.ownRunning > 0 || target.hasUnreportedTokens;
}

function createLoad(target: Target): TargetLoad {
    return {
        targetHash: target.idHash,
        waitingTokens: target.ownWaitingTokens,
        running: target.ownRunning,
        writtenTokens: target.takeWrittenTokens(),
    };
}
