import type { Figures } from "./metrics.js";

/** What one scenario gave. */
export interface BenchResult {
    readonly scenario: string;
    readonly seed: number;
    readonly product: Figures;
    readonly baseline: Figures;
}

/** The figures as text, product and baseline side by side. */
export function printFigures(result: BenchResult): string {
    const lines = [`${result.scenario} (seed ${result.seed})`];
    const add = (name: string, pick: (figures: Figures) => unknown): void => {
        const product = String(pick(result.product));
        lines.push(`  ${name.padEnd(34)}${product.padStart(26)}${String(pick(result.baseline)).padStart(26)}`);
    };
    add("", figures => figures.name);
    for (const key of Object.keys(result.product) as (keyof Figures)[]) {
        if (key === "waitMs" || key === "firstTokenMs") {
            for (const size of ["department", "middle", "small"] as const) {
                add(`${key} ${size} p50/p95/p99`, figures => {
                    const { p50, p95, p99 } = figures[key][size];
                    return [p50, p95, p99].map(Math.round).join("/");
                });
            }
        } else if (key !== "name") {
            add(key, figures => figures[key]);
        }
    }
    return lines.join("\n");
}
