import { type CatalogRecord } from './catalogRecord';

/**
 * Records that lead from an earlier revision of the catalog to a later one. Sent to other hosts as
 * JSON under these property names.
 */
export interface CatalogChanges {
  /** Revision to which the records apply; null when `records` is the whole catalog. */
  readonly after: number | null;
  /** Revision up to which the records are complete. */
  readonly asOf: number;
  readonly records: readonly CatalogRecord[];
}
