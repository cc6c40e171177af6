/** What a host knows of the crashes during calls with one fingerprint; hosts send it to each other. */
export interface CrashHistory {
  readonly fingerprint: string;
  /** Ids of the crashes. */
  readonly crashes: readonly string[];
  /** Ids of those that a later answer to such a call showed to be unrelated. */
  readonly cleared: readonly string[];
  /** Time in milliseconds until the history expires; clocks of hosts differ. */
  readonly leftMs: number;
}
