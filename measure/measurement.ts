import { type MeasureOptions } from './measureOptions';

/** One row of a result, printed as a line of a table. */
export type ResultRow = Readonly<Record<string, string | number>>;

/** A named measurement. */
export interface Measurement {
  readonly description: string;
  /** Runs the measurement; `progress` takes lines for a person. */
  run(options: MeasureOptions, progress: (line: string) => void): Promise<readonly ResultRow[]>;
}
