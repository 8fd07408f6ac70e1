import { measureDataPlane } from "./capacity/dataPlane.js";
import { measureExchangeCosts } from "./capacity/exchangeCost.js";
import { measureHeapSlopes } from "./capacity/heapSlopes.js";
import { measureBareProcessMiB, measureIdleDaemons } from "./capacity/idleDaemons.js";

/** Measures the slopes that docs/CAPACITY.md works with, and prints them. */
async function main(): Promise<void> {
    console.log("Heap per entity (bytes):");
    console.table(measureHeapSlopes());
    console.log("One exchange over loopback, both ends:");
    console.table(await measureExchangeCosts([0, 2, 16, 35, 350]));
    console.log(`A Node.js process that does nothing: ${measureBareProcessMiB().toFixed(1)} MiB`);
    console.log("Streams through one router to three engines:");
    console.table([await measureDataPlane(20, 60), await measureDataPlane(200, 60)]);
    console.log("Idle daemons:");
    console.table([await measureIdleDaemons(2, 2), await measureIdleDaemons(2, 4), await measureIdleDaemons(5, 2)]);
}

await main();
