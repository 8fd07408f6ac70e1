import tseslint from "typescript-eslint";

/** Layers from the lowest to the highest. A folder may import itself and those before it, never one after it. */
const layers = [
    ["base"],
    ["events"],
    ["decisions"],
    ["http"],
    ["document"],
    ["infrastructure"],
    ["fleet"],
    ["control"],
    ["router", "agent", "gateway"],
    ["daemon", "cli"],
];

/** Verbs a function name may begin with; docs/CONVENTIONS.md says what each one means. */
const verbs =
    "add|advance|answer|append|apply|build|cancel|can|charge|check|choose|clear|close|compare|compute|connect|count|create|decode|delete|describe|dispose|drain|encode|end|estimate|explain|fail|fetch|find|fire|format|get|handle|has|hash|increment|is|issue|list|listen|load|main|measure|merge|mix|next|now|observe|offer|on|open|order|parse|pick|print|promote|read|receive|record|refuse|release|remove|render|report|resolve|resume|run|select|send|set|sign|sleep|sort|start|stop|submit|subscribe|take|tick|to|update|verify|visit|wait|watch|withdraw|write";
const verbPattern = `^(${verbs})([A-Z0-9].*)?$`;

const layerRules = layers.flatMap((folders, level) =>
    folders.map(folder => {
        const forbidden = layers
            .flatMap((others, otherLevel) => (otherLevel >= level ? others : []))
            .filter(other => other !== folder);
        return {
            files: [`src/${folder}/**/*.ts`],
            rules: {
                "no-restricted-imports": [
                    "error",
                    {
                        patterns: [
                            {
                                group: forbidden.flatMap(other => [`../${other}/*`, `../../${other}/*`]),
                                message: `src/${folder} may only import lower layers.`,
                            },
                            { group: ["**/test/**", "**/bench/**"], message: "Product code never imports tests." },
                            {
                                group: ["../../platform/*", "../../deploy/*"],
                                message: "Only deploy/ imports the translation to the users' platform.",
                            },
                        ],
                    },
                ],
            },
        };
    }),
);

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "out/**", "node_modules/**", "eslint.config.js"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            curly: ["error", "all"],
            eqeqeq: "error",
            "one-var": ["error", "never"],
            "prefer-arrow-callback": "error",
            "prefer-const": "error",
            "no-restricted-syntax": [
                "error",
                { selector: "Literal[raw='null']", message: "Use undefined, not null." },
                { selector: "PrivateIdentifier", message: "Use the private keyword." },
            ],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^unused" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "variable", format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "function", format: ["camelCase"], custom: { regex: verbPattern, match: true } },
                {
                    selector: ["classMethod"],
                    format: ["camelCase"],
                    custom: { regex: verbPattern, match: true },
                },
                { selector: "parameter", format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "classProperty", format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
        },
    },
    {
        files: ["src/**/*.ts", "platform/**/*.ts", "deploy/**/*.ts"],
        rules: { "max-lines": ["error", { max: 350 }], complexity: ["error", 15] },
    },
    ...layerRules,
    {
        files: ["platform/**/*.ts"],
        rules: {
            "no-restricted-imports": [
                "error",
                {
                    patterns: [
                        {
                            regex: "^\\.\\./(?!src/(base|gateway)/)",
                            message:
                                "platform/ translates: it knows the basis and the gateway's interfaces, nothing else.",
                        },
                    ],
                },
            ],
        },
    },
);
