import { defineConfig } from "vitest/config";

/** Tests of memory and descriptors of processes; they run one at a time, after all others. */
const processTests = "test/misbehavingClients/**/*.test.ts";

export default defineConfig({
    test: {
        globalSetup: ["test/fakes/testRunReservation.ts"],
        testTimeout: 120_000,
        hookTimeout: 120_000,
        projects: [
            {
                extends: true,
                test: { name: "default", include: ["test/**/*.test.ts"], exclude: [processTests] },
            },
            {
                extends: true,
                test: {
                    name: "processes",
                    include: [processTests],
                    fileParallelism: false,
                    sequence: { groupOrder: 1 },
                },
            },
        ],
    },
});
