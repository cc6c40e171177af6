import { type NotRunReason } from './notRunReason';

/** The call did not run: no byte of it was processed by a target. */
export interface NotRun {
  readonly kind: 'not-run';
  readonly reason: NotRunReason;
  readonly detail: string;
}

/** Makes a "not run" outcome. */
export function notRun(reason: NotRunReason, detail: string): NotRun {
  return Object.freeze({ kind: 'not-run', reason, detail });
}
