import { type CrashHistory, type LeavingTarget } from '../knowledge';

/** What hosts repeat to each other until all know it; none of it is undone by an older message. */
export interface Notices {
  readonly crashes: readonly CrashHistory[];
  readonly leaving: readonly LeavingTarget[];
}
