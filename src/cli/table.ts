/** Rows as lines with aligned columns. */
export function formatTable(rows: readonly (readonly string[])[]): readonly string[] {
    const widths = (rows[0] ?? []).map((heading, column) =>
        Math.max(heading.length, ...rows.map(row => row[column]?.length ?? 0)),
    );
    return rows.map(row =>
        row
            .map((cell, column) => cell.padEnd(widths[column] ?? 0))
            .join("  ")
            .trimEnd(),
    );
}
