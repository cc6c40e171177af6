import { type Result } from 'ts-results';

import { type Sheet } from '../sheet';

/** Why a sheet could not be obtained from any host. */
export interface SheetSourceError {
  readonly kind: 'unreachable' | 'not-found' | 'invalid';
  readonly detail: string;
}

/** Sheets by fingerprint: those at hand, and those that other hosts hold. */
export interface SheetSource {
  /** The sheet when it is at hand, else null. */
  get(fingerprint: string): Sheet | null;
  /** The sheet at hand, or fetched from one of `fromHosts`; concurrent requests share a fetch. */
  obtain(
    fingerprint: string,
    fromHosts: readonly string[],
  ): Promise<Result<Sheet, SheetSourceError>>;
  /** Keeps a sheet and serves it to other hosts. */
  add(sheet: Sheet): void;
}
