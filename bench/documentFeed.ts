import type { Random } from "../src/base/random.js";
import type { EnvironmentDocument } from "../src/document/schema.js";
import { createDocument } from "./document.js";
import type { CoreMessenger } from "./exchange.js";
import type { AgentNode, RouterNode } from "./nodes.js";
import type { Scenario } from "./scenario.js";
import type { Simulation } from "./simulation.js";

/** What a {@link DocumentFeed} needs. */
export interface DocumentFeedOptions {
    readonly simulation: Simulation;
    readonly scenario: Scenario;
    readonly random: Random;
    readonly routers: readonly RouterNode[];
    readonly agents: readonly AgentNode[];
    readonly messenger: CoreMessenger;
    /** A document is about to reach an agent. */
    readonly onWillReach: () => void;
}

/** A daemon reads an accepted document from the log within this time. */
const documentDelayMs = 500;

/** The environment's document, and how it reaches the daemons. */
export class DocumentFeed {
    private document: EnvironmentDocument;
    private offset = 0;

    public constructor(private readonly options: DocumentFeedOptions) {
        this.document = createDocument(options.scenario);
    }

    /** All daemons have the first document from the start. */
    public start(): void {
        this.sendDocument(0);
    }

    /** An operator takes a data centre out or back in. */
    public setDataCentre(name: string, state: "in" | "out"): void {
        const { agents, simulation } = this.options;
        const { region } = this.document.dataCentres[name]!;
        const dataCentres = { ...this.document.dataCentres, [name]: { region, state } };
        this.document = { ...this.document, dataCentres };
        this.offset += 1;
        for (const agent of agents.filter(candidate => candidate.identity.dataCentre === name)) {
            agent.outSinceMs = state === "out" ? simulation.nowMs : undefined;
        }
        this.sendDocument(documentDelayMs);
    }

    private sendDocument(delayMs: number): void {
        const { simulation, random, agents, routers, messenger, onWillReach } = this.options;
        const message = { type: "documentAccepted", offset: this.offset, document: this.document } as const;
        agents.forEach(agent =>
            simulation.addAfter(delayMs * random.next(), () => {
                onWillReach();
                messenger.sendToAgent(agent, message);
            }),
        );
        routers.forEach(router =>
            simulation.addAfter(delayMs * random.next(), () => messenger.sendToRouter(router, message)),
        );
    }
}
