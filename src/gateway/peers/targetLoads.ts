import type { Target, PeerLoad } from "../target.js";
import type { TargetDirectory } from "../targetDirectory.js";
import type { PeerMessage, TargetLoad } from "./peerMessage.js";

const zeroLoad: PeerLoad = { waitingTokens: 0, running: 0 };

/** Reports this router's load at targets, and applies the loads that its peers report. */
export class TargetLoads {
    public constructor(private readonly directory: TargetDirectory) {}

    /** This router's current loads, for its next message. */
    public listOwn(): readonly TargetLoad[] {
        return this.directory.listAll().filter(isReported).map(createLoad);
    }

    /** Applies the loads summed over all peers, by the hash of the target's id. */
    public applyPeerLoads(loads: ReadonlyMap<number, PeerLoad>): void {
        for (const target of this.directory.listAll()) {
            target.peerLoad = loads.get(target.idHash) ?? zeroLoad;
        }
    }

    /** Applies what a peer's requests wrote into targets' caches. */
    public applyMessage({ targets, reads }: PeerMessage): void {
        for (const load of targets) {
            this.directory.findByHash(load.targetHash)?.recordPeerWrittenTokens(load.writtenTokens);
        }
        for (const prefill of reads) {
            this.directory.findByHash(prefill.targetHash)?.recordPart(prefill.partId, prefill.tokens);
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
