import { type SourceState } from '../source';

import { type HostAddress } from './hostAddress';

/** Another host as it was last heard. */
export interface KnownHost extends HostAddress {
  readonly incarnation: number;
  readonly asOf: number;
  readonly source: SourceState;
  readonly isLeaving: boolean;
  /** Monotonic time at which the host itself was last heard, or named by one that hears it. */
  readonly heardAt: number;
  /** Whether the host itself was heard. */
  readonly isDirect: boolean;
}
