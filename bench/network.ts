import type { AgentNode, RouterNode } from "./nodes.js";
import type { Scenario } from "./scenario.js";
import type { Simulation } from "./simulation.js";

/** Times between routers and agents, and a data centre that is cut off from the others. */
export class Network {
    private cutDataCentre: string | undefined;

    public constructor(
        private readonly simulation: Simulation,
        private readonly scenario: Pick<Scenario, "localTripMs" | "dataCentreTripMs">,
    ) {}

    /** Undefined: all reach one another again. */
    public setCut(dataCentre: string | undefined): void {
        this.cutDataCentre = dataCentre;
    }

    public canReach(router: RouterNode, agent: AgentNode): boolean {
        const cut = this.cutDataCentre;
        return cut === undefined || (router.dataCentre === cut) === (agent.identity.dataCentre === cut);
    }

    /** One way. */
    public getTripMs(router: RouterNode, agent: AgentNode): number {
        const isLocal = router.dataCentre === agent.identity.dataCentre;
        return isLocal ? this.scenario.localTripMs : this.scenario.dataCentreTripMs;
    }

    /** Runs at the other end, unless a cut has come between them by then. */
    public addReachable(router: RouterNode, agent: AgentNode, run: () => void): void {
        this.simulation.addAfter(this.getTripMs(router, agent), () => {
            if (this.canReach(router, agent)) {
                run();
            }
        });
    }
}
