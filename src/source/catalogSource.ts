import { type Result } from 'ts-results';

import { type CatalogChanges } from '../catalog';

import { type SourceError } from './sourceError';

/** Store in which the catalog is published; implemented by an adapter outside of `src`. */
export interface CatalogSource {
  /** Reads the whole catalog; `after` of the changes is null. */
  readAll(deadline: number): Promise<Result<CatalogChanges, SourceError>>;
  /**
   * Waits until `watchUntil` for changes after revision `after`; returns empty changes when there
   * were none. Times are monotonic, in milliseconds.
   */
  watch(
    after: number,
    watchUntil: number,
    deadline: number,
  ): Promise<Result<CatalogChanges, SourceError>>;
  /** Closes the connection and cancels any request on it. */
  close(): void;
}
