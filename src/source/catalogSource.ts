import { type Result } from 'ts-results';

import { type CatalogChanges } from '../catalog';

import { type Confirmation } from './confirmation';
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
  /**
   * Reads without waiting what became of the configuration after revision `after`, and whether anything else has
   * changed. The answer is the
   * state of the source at some moment of the call. It waits for a running request, so that a host that
   * also watches needs a second connection.
   */
  confirm(after: number, deadline: number): Promise<Result<Confirmation, SourceError>>;
  /** Closes the connection and cancels any request on it. */
  close(): void;
}
