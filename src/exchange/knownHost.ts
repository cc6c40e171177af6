import { type SourceState } from '../source';

import { type HostAddress } from './hostAddress';

/** Another host, as of the last heartbeat received from it. */
export interface KnownHost extends HostAddress {
  readonly incarnation: number;
  readonly asOf: number;
  readonly newest: number;
  readonly fingerprint: number;
  readonly source: SourceState;
  readonly isLeaving: boolean;
  /**
   * Monotonic time at which a heartbeat was last received from the host, or from another host that
   * lists it as live.
   */
  readonly receivedAt: number;
  /** Whether a heartbeat was received from the host itself. */
  readonly isDirect: boolean;
}
