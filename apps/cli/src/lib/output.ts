/** Prints results as a human-readable table or as JSON. */

/** @internal */
export type OutputFormat = 'table' | 'json';

type Row = Readonly<Record<string, string | number | boolean>>;

/** Prints rows with identical columns. @internal */
export function printRows(rows: readonly Row[], format: OutputFormat): void {
  if (format === 'json') {
    process.stdout.write(`${JSON.stringify(rows, null, 2)}\n`);
    return;
  }
  if (rows.length === 0) {
    process.stdout.write('(none)\n');
    return;
  }
  const columns = Object.keys(rows[0]);
  const widths = columns.map(column =>
    Math.max(column.length, ...rows.map(row => String(row[column] ?? '').length)),
  );
  const line = (cells: readonly string[]) =>
    `${cells
      .map((cell, i) => cell.padEnd(widths[i]))
      .join('  ')
      .trimEnd()}\n`;
  process.stdout.write(line(columns));
  for (const row of rows) process.stdout.write(line(columns.map(c => String(row[c] ?? ''))));
}
