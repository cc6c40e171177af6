import { type Result } from 'ts-results';

import { type CatalogChanges } from '../catalog';

import { type SourceError } from './sourceError';

/** Where the catalog is published; implemented outside of the product's modules. */
export interface CatalogSource {
  /** Reads everything; the changes' `after` is null. */
  readAll(deadline: number): Promise<Result<CatalogChanges, SourceError>>;
  /**
   * Waits until `waitUntil` for changes after the revision `after`; the changes are empty when
   * there were none. Times are monotonic, in milliseconds.
   */
  watch(
    after: number,
    waitUntil: number,
    deadline: number,
  ): Promise<Result<CatalogChanges, SourceError>>;
  /** Gives up the connection and whatever request runs on it. */
  close(): void;
}
