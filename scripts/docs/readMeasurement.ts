import { readFileSync } from 'node:fs';
import { join } from 'node:path';

import { type ResultRow } from '../../measure/measurement';

/** Rows of a recorded measurement, from measurements/ of the current folder. */
export function readMeasurement(name: string): readonly ResultRow[] {
  const text = readFileSync(join(process.cwd(), 'measurements', `${name}.json`), 'utf8');
  return (JSON.parse(text) as { readonly rows: readonly ResultRow[] }).rows;
}

/** Returns a column of the first row that matches all given values. */
export function figure(
  rows: readonly ResultRow[],
  where: Readonly<ResultRow>,
  column: string,
): number {
  const row = rows.find((each) =>
    Object.entries(where).every(([name, value]) => each[name] === value),
  );
  if (row === undefined) throw new Error(`no row with ${JSON.stringify(where)}`);
  return Number(row[column]);
}

/** Least-squares slope of `y` against `x` over the rows. */
export function slope(rows: readonly ResultRow[], x: string, y: string): number {
  const points = rows.map((row) => [Number(row[x]), Number(row[y])] as const);
  const meanX = points.reduce((sum, [value]) => sum + value, 0) / points.length;
  const meanY = points.reduce((sum, [, value]) => sum + value, 0) / points.length;
  const covariance = points.reduce((sum, [px, py]) => sum + (px - meanX) * (py - meanY), 0);
  const variance = points.reduce((sum, [px]) => sum + (px - meanX) ** 2, 0);
  return covariance / variance;
}
