import { type CatalogRecord } from './catalogRecord';

/** Records by which one state of the catalog follows from an earlier one. */
export interface CatalogChanges {
  /** Revision that the records build on; null when `records` is the whole catalog. */
  readonly after: number | null;
  /** Revision up to which the records are complete. */
  readonly asOf: number;
  readonly records: readonly CatalogRecord[];
}
