import { type MeasureOptions } from './measureOptions';

/** One row of a result. */
export type ResultRow = Readonly<Record<string, string | number>>;

/** A named measurement. */
export interface Measurement {
  readonly description: string;
  /** Runs the measurement; `onProgress` receives human-readable lines. */
  run(options: MeasureOptions, onProgress: (line: string) => void): Promise<readonly ResultRow[]>;
}
