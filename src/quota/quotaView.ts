import { type HostAddress, type KnownHost } from '../exchange';

/** What this host knows of the fleet. */
export interface QuotaView {
  readonly self: HostAddress;
  /** All zones of the region. */
  readonly zones: readonly string[];
  /** Live hosts, excluding this one; only some of those in other zones. */
  hosts(): readonly KnownHost[];
  /** Number of live hosts of all zones. */
  liveHostCount(): number;
  /** Highest number of hosts that were live at once since this process started. */
  maxLiveHostCount(): number;
  isLeaving(): boolean;
}
