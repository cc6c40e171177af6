import { type NotRunReason } from './notRunReason';

/** The call did not run: no target processed any byte of it. */
export interface NotRun {
  readonly kind: 'not-run';
  readonly reason: NotRunReason;
  readonly detail: string;
}

/** Creates a "not run" outcome. */
export function notRun(reason: NotRunReason, detail: string): NotRun {
  return Object.freeze({ kind: 'not-run', reason, detail });
}
