import { type Result } from 'ts-results';

import { type Sheet } from '../sheet';

/** Why a sheet could not be obtained from any host. */
export interface SheetSourceError {
  readonly kind: 'unreachable' | 'not-found' | 'invalid';
  readonly detail: string;
}

/** Provides sheets by fingerprint, from the local cache or from other hosts. */
export interface SheetSource {
  /** The sheet if it is cached locally, else null. */
  get(fingerprint: string): Sheet | null;
  /** The cached sheet, or one fetched from `fromHosts`; concurrent requests share a fetch. */
  obtain(
    fingerprint: string,
    fromHosts: readonly string[],
  ): Promise<Result<Sheet, SheetSourceError>>;
  /** Caches a sheet and serves it to other hosts. */
  add(sheet: Sheet): void;
}
