/** Formats rows as aligned columns; the first row is the header. */
export function formatColumns(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_cell, index) =>
    Math.max(...rows.map((row) => (row[index] ?? '').length)),
  );
  return rows
    .map((row) =>
      row
        .map((cell, index) => cell.padEnd(widths[index] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
